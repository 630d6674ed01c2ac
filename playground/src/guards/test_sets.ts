/**
 * Selects the tests that are run without a guard.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

/** Folders of the gateway that serves routes. All other code belongs to the core configured by a deployment text. */
const GATEWAY_PATHS = [
  "packages/core/src/customers/",
  "packages/core/src/demand/",
  "packages/core/src/endpoint_terms/",
  "packages/core/src/fair_shares/",
  "packages/core/src/features/",
  "packages/core/src/gateway/",
  "packages/core/src/fleet/",
  "packages/core/src/outlook/",
  "packages/core/src/overload/",
  "packages/core/src/pace/",
  "packages/core/src/quarantine/",
  "packages/core/src/retries/",
  "packages/core/src/routes/",
  "packages/core/src/stream_origins/",
  "packages/daemon/src/gateway/",
  "platform/",
];
const GATEWAY_TEST_SETS = [
  [
    "packages/core",
    "playground/src/routes/__tests__/routes.test.ts",
    "playground/src/routes/__tests__/streams.test.ts",
    "playground/src/routes/__tests__/retry_sum.test.ts",
    "packages/daemon/src/gateway",
    "platform/src",
  ],
  [
    "playground/src/bytes",
    "playground/src/load",
    "playground/src/routes/__tests__/quarantine_trials.test.ts",
    "playground/src/routes/__tests__/key_lease.test.ts",
    "playground/src/routes/__tests__/restored_store_model.test.ts",
    "packages/daemon/src/timers",
  ],
];
const CORE_TEST_SETS = [
  [
    "packages/core",
    "playground/src/scenario",
    "packages/daemon/src/callers",
    "packages/daemon/src/peers",
    "packages/daemon/src/timers",
  ],
  [
    "packages/daemon/src/outbound",
    "packages/daemon/src/entry",
    "packages/daemon/src/platform",
    "packages/daemon/src/gateway",
  ],
];

/** Returns sets of tests, fastest first. A set is run only if no test of the previous sets failed. */
export function testSetsOf({ file }: Guard): readonly (readonly string[])[] {
  return GATEWAY_PATHS.some((path) => file.startsWith(path))
    ? GATEWAY_TEST_SETS
    : CORE_TEST_SETS;
}
