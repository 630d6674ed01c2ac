/**
 * Adds up requests into the groups of a demand report.
 *
 * @module
 */
import type { CustomerId, ServiceId } from "../ids/index.ts";
import type { PlacedGroup, WaitingGroup } from "./demand_messages.ts";

/** Groups in one report, so that it fits into one datagram. The groups with the fewest tokens are left out. */
export const MAX_GROUPS = 32;

/** One waiting request. */
export type WaitingItem = Omit<WaitingGroup, "requests">;

/** Adds up waiting requests by service, rank, lateness and customer. */
export function groupWaiting(items: Iterable<WaitingItem>): WaitingGroup[] {
  return groupBy(
    items,
    ({ service, rank, late, customer }) =>
      `${service} ${rank} ${late} ${customer ?? ""}`,
  );
}

/**
 * Bounds the groups of placed requests. The smallest of each service are added up without their customer, so that the
 * sum of a service stays.
 */
export function boundPlaced(groups: readonly PlacedGroup[]): PlacedGroup[] {
  if (groups.length <= MAX_GROUPS) {
    return [...groups];
  }
  const bySize = [...groups].sort((left, right) =>
    right.tokens - left.tokens || right.requests - left.requests
  );
  const services = new Set(groups.map(({ service }) => service));
  const kept = Math.max(0, MAX_GROUPS - services.size);
  const rest = new Map<ServiceId, { requests: number; tokens: number }>();
  for (const { service, requests, tokens } of bySize.slice(kept)) {
    const sum = rest.get(service) ?? { requests: 0, tokens: 0 };
    sum.requests += requests;
    sum.tokens += tokens;
    rest.set(service, sum);
  }
  return [
    ...bySize.slice(0, kept),
    ...[...rest].map(([service, sum]) => ({
      service,
      customer: undefined,
      ...sum,
    })),
  ];
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
