/**
 * What an entry holds at a moment, for monitoring.
 *
 * @module
 */
import { catalogueAge, type Gateway, type Instant } from "@sassafrasstep/core";
import type { Connections } from "./connections.ts";
import type { Datagrams } from "./datagrams.ts";

/** Gauges by name. */
export function readGauges(
  { catalogue, calls, fleet, quarantine, terms }: Gateway,
  { connections, datagrams }: {
    connections: Pick<Connections, "opened">;
    datagrams: Pick<Datagrams, "counts">;
  },
  now: Instant,
): Record<string, number> {
  return {
    requests: calls.active,
    queued: calls.queued,
    streams_resumed: calls.resumed,
    requests_unrouted: calls.unrouted,
    members: fleet.live().length,
    endpoint_ends: quarantine.ends,
    requests_held: quarantine.holds.size,
    endpoint_limits: terms.limits.size,
    endpoint_limits_withheld: terms.limits.withheld,
    endpoint_limits_ignored: terms.limits.ignored,
    endpoints_leaving: terms.departures.size,
    endpoints_resting: terms.rests.resting(now),
    endpoint_rests_ignored: terms.rests.ignored,
    document_version: catalogue.document?.version ?? 0,
    catalogue_epoch: catalogue.position.epoch,
    catalogue_revision: catalogue.position.revision,
    catalogue_whole_reads: catalogue.wholeReads,
    catalogue_history_misses: catalogue.historyMisses,
    store_reachable: catalogue.reachable ? 1 : 0,
    store_age_ms: Math.round(catalogueAge(catalogue, now) ?? -1),
    connections_opened: connections.opened,
    datagram_bytes_sent: datagrams.counts.sent,
    datagram_bytes_received: datagrams.counts.received,
    datagrams_foreign: datagrams.counts.foreign,
  };
}
