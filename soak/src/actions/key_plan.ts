/**
 * Customers with keys, one of which is taken away, and one with a limit.
 *
 * @module
 */
import type { Draw } from "../draw.ts";
import type { Fault } from "./action_faults.ts";
import { FIRST_DOCUMENT } from "./change_faults.ts";

/** Time after which a key that was taken away opens nothing, by the settings. */
export const KEY_LIFETIME_MS = 3_000;
/** Requests per second of the customer with a limit, and its burst. */
export const LIMIT = { perSecond: 4, burst: 4 };
/** Keys by what becomes of them. */
export const KEYS = {
  kept: "k-lawyers-a09f",
  removed: "k-clinic-51c7",
  limited: "k-scanner-0b1e",
  unknown: "k-nobody-2f60",
} as const;

export type KeyName = keyof typeof KEYS;

const KEY_DRAWS: readonly KeyName[] = [
  "kept",
  "kept",
  "removed",
  "removed",
  "limited",
  "limited",
  "unknown",
];
const MIN_REMOVED_AT_MS = 4_000;
const MAX_REMOVED_AT_MS = 7_000;

/** Customers of a document. */
export function customersOf({ isRemoved }: { isRemoved: boolean }): object[] {
  const customer = (name: string, key: string, fields = {}): object => ({
    name,
    keys: [key],
    priority: 1,
    home_regions: [],
    ...fields,
  });
  return [
    customer("lawyers", KEYS.kept),
    customer("scanner", KEYS.limited, {
      unit: "request",
      rate_per_s: LIMIT.perSecond,
      burst: LIMIT.burst,
    }),
    ...isRemoved ? [] : [customer("clinic", KEYS.removed)],
  ];
}

export function drawKey(draw: Draw): KeyName {
  return draw.pick(KEY_DRAWS);
}

/** Adds the document without the removed key to the faults of a wave. */
export function addRemoval(draw: Draw, faults: readonly Fault[]): Fault[] {
  return [
    // Other documents would bring customers back, or take them away.
    ...faults.filter(({ kind }) => kind !== "document"),
    {
      kind: "document",
      ...FIRST_DOCUMENT,
      customers: customersOf({ isRemoved: true }),
      atMs: draw.integer(MIN_REMOVED_AT_MS, MAX_REMOVED_AT_MS),
      forMs: 0,
    },
  ];
}
