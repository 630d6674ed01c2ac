/**
 * Selection of the endpoints that one entry uses.
 *
 * @module
 */
import type { Endpoint, EntryIdentity } from "../blackboard/index.ts";
import { hash32 } from "../ids/index.ts";

/** Maximum number of endpoints of one service that one entry uses. */
export const SUBSET_SIZE = 24;

/**
 * Returns the endpoints that this entry uses, with preference for its own availability zone. If there are many, each
 * entry uses its own subset, so that it knows their load and caches well. All entries together use all endpoints.
 */
export function subsetOf(
  self: EntryIdentity,
  serving: readonly Endpoint[],
): readonly Endpoint[] {
  if (serving.length <= SUBSET_SIZE) {
    return serving;
  }
  const ranked = serving.map((endpoint) => ({
    endpoint,
    zoneDistance: endpoint.vm.zone === self.zone ? 0 : 1,
    rank: hash32(`${self.id}|${endpoint.vm.id}`),
  }));
  ranked.sort((left, right) =>
    left.zoneDistance - right.zoneDistance || left.rank - right.rank
  );
  return ranked.slice(0, SUBSET_SIZE).map(({ endpoint }) => endpoint);
}
