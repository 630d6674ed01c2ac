/**
 * Adds up requests into the groups of a demand report.
 *
 * @module
 */
import type { CustomerId, ServiceId } from "../ids/index.ts";
import type { RunningGroup, WaitingGroup } from "./demand_messages.ts";

/** Groups in one report, so that it fits into one datagram. The groups with the fewest tokens are left out. */
export const MAX_GROUPS = 32;

/** One waiting request. */
export type WaitingItem = Omit<WaitingGroup, "requests">;
/** One request in flight. */
export type RunningItem = Omit<RunningGroup, "requests">;

/** Adds up waiting requests by service, rank, lateness and customer. */
export function groupWaiting(items: Iterable<WaitingItem>): WaitingGroup[] {
  return groupBy(
    items,
    ({ service, rank, late, customer }) =>
      `${service} ${rank} ${late} ${customer ?? ""}`,
  );
}

/** Adds up requests in flight by service and customer. */
export function groupRunning(items: Iterable<RunningItem>): RunningGroup[] {
  return groupBy(
    items,
    ({ service, customer }) => `${service} ${customer ?? ""}`,
  );
}

interface CountedItem {
  readonly service: ServiceId;
  readonly customer: CustomerId | undefined;
  readonly tokens: number;
}

function groupBy<Item extends CountedItem>(
  items: Iterable<Item>,
  keyOf: (item: Item) => string,
): (Item & { requests: number })[] {
  const groups = new Map<string, Item & { requests: number; tokens: number }>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, { ...item, requests: 1 });
    } else {
      group.requests++;
      group.tokens += item.tokens;
    }
  }
  const all = [...groups.values()];
  return all.length <= MAX_GROUPS
    ? all
    : all.sort((left, right) => right.tokens - left.tokens).slice(
      0,
      MAX_GROUPS,
    );
}
