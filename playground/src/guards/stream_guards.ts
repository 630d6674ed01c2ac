/**
 * Guards of streams before endpoints of several software versions.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

const GATEWAY = "packages/core/src/gateway";
const ORIGINS = "packages/core/src/stream_origins";
const DAEMON = "packages/daemon/src/gateway";
const POINT = "routes: one version a stream";

/** Guards of the software version of a stream. */
export const STREAM_GUARDS: readonly Guard[] = [
  {
    point: POINT,
    name: "a version that joined since the last read counts",
    file: `${GATEWAY}/software_history.ts`,
    find: "return (this.#catalogue.confirmedAt ?? -Infinity) >= until",
    replace: "return (this.#catalogue.confirmedAt ?? Infinity) >= -until",
  },
  {
    point: POINT,
    name: "a bound request goes only to endpoints of its origin",
    file: `${GATEWAY}/local_placement.ts`,
    find: "          call.acceptsSoftware(state.record)\n",
    replace: "          state.record.softwareVersion !== undefined\n",
  },
  {
    point: POINT,
    name: "a region is asked only if it has the version",
    file: `${GATEWAY}/call_router.ts`,
    find: `versionRegions?.has(region) !== false &&
      now -`,
    replace: "versionRegions !== null && now -",
  },
  {
    point: POINT,
    name: "a stream without a known origin does not go on",
    file: `${GATEWAY}/call_resumptions.ts`,
    find: `    } else {
      outcomes.fail(call, "stream_unknown", now);
    }`,
    replace: `    } else {
      this.#deps.place(call, now);
    }`,
  },
  {
    point: POINT,
    name: "a relayed resumption is bound whatever its route says",
    file: `${GATEWAY}/call.ts`,
    find: "return relay?.origin !== undefined ||",
    replace: "return this.route.resumable && relay?.origin !== undefined ||",
    also: [{
      file: `${GATEWAY}/call.ts`,
      find: '(this.route.kind === "stream" && isNamed);',
      replace:
        '(this.route.resumable && this.route.kind === "stream" && isNamed);',
    }],
  },
  {
    point: POINT,
    name: "records are copied to other entries",
    file: `${ORIGINS}/origin_replicas.ts`,
    find: "const REPLICA_COUNT = 2;",
    replace: "const REPLICA_COUNT = 0;",
  },
  {
    point: POINT,
    name: "records of entries that ended are taken over",
    file: `${ORIGINS}/origin_replicator.ts`,
    find: "if (alive.has(owner)) {",
    replace: "if (alive.size > 0) {",
  },
  {
    point: POINT,
    name: "an entry that keeps no copy is replaced",
    file: `${ORIGINS}/origin_replicas.ts`,
    find: "if (replica.attempts > MAX_ATTEMPTS) {",
    replace: "if (replica.attempts < 0) {",
  },
  {
    point: POINT,
    name: "other regions are asked for a stream",
    file: `${ORIGINS}/origin_lookups.ts`,
    find: "if (remote.length > 0) {",
    replace: "if (remote.length < 0) {",
  },
  {
    point: POINT,
    name: "records that differ leave the origin in doubt",
    file: `${ORIGINS}/origin_table.ts`,
    find: "origin: isDoubtful ? undefined : newer.origin,",
    replace: "origin: isDoubtful ? record.origin : newer.origin,",
  },
  {
    point: POINT,
    name: "a peer states the origin with its answer",
    file: `${DAEMON}/outbound_call.ts`,
    find: "if (origin !== undefined) {",
    replace: "if (origin === null) {",
  },
];
