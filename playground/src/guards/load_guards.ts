/**
 * Guards of decisions that read the state of a whole region.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

const CORE = "packages/core/src";
const POINT = "routes: a region under load";

/** Guards of pace, shares, and of what is derived from the members. */
export const LOAD_GUARDS: readonly Guard[] = [
  {
    point: POINT,
    name: "lists of members are made again after a change",
    file: `${CORE}/fleet/membership_list.ts`,
    find: "this.#version++;",
    replace: "",
  },
  {
    point: POINT,
    name: "contention decides between the two cheapest endpoints",
    file: `${CORE}/gateway/endpoint_placement.ts`,
    find: "second !== undefined && second.cost < best.cost ? second : best;",
    replace: "second !== undefined && second.cost < 0 ? second : best;",
  },
  {
    point: POINT,
    name: "customers are served by their shares of the region",
    file: `${CORE}/gateway/call_queue.ts`,
    find: "item.virtualTime = times[index]!",
    replace: "item.virtualTime += 0 * times[index]!",
  },
  {
    point: POINT,
    name: "optional decisions are off where no endpoint reports contention",
    file: `${CORE}/features/features.ts`,
    find: "return reportsContention && hasCustomerLimits;",
    replace: "return hasCustomerLimits;",
  },
];
