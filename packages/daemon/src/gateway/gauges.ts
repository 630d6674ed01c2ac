/**
 * Current values of an entry for its metrics.
 *
 * @module
 */
import { catalogueAge, type Gateway, type Instant } from "@sassafrasstep/core";
import type { BodyBudget } from "./body_budget.ts";
import type { ConnectionPool } from "./connection_pool.ts";
import type { DatagramSocket } from "./datagram_socket.ts";

/** Reads all gauges, by metric name without the prefix. */
export function readGauges(
  {
    catalogue,
    calls,
    endpoints,
    fleet,
    quarantine,
    endpointTerms,
    regionAdmission,
    shares,
    earlyRelay,
    streamOrigins,
    coldChecks,
    retries,
  }: Gateway,
  { connections, datagrams, bodies }: {
    connections: Pick<ConnectionPool, "opened">;
    datagrams: Pick<DatagramSocket, "counts">;
    bodies: Pick<BodyBudget, "heldBytes">;
  },
  now: Instant,
): Record<string, number> {
  const pace = endpoints.paceFigures(now);
  return {
    requests: calls.active,
    queued: calls.queued,
    streams_resumed: calls.resumedStreams,
    retries_borrowed: retries.loans.counts.borrowed,
    retries_lent: retries.loans.counts.lent,
    retry_slack_fraction: retries.slackShare(now).fraction,
    stream_origins: streamOrigins.size,
    stream_lookups: streamOrigins.lookups.started,
    stream_lookups_failed: streamOrigins.lookups.failed,
    requests_unrouted: calls.unroutedRequests,
    region_refused_on_arrival: regionAdmission.counts.refusedOnArrival,
    region_refused_waiting: regionAdmission.counts.refusedWaiting,
    region_returned: regionAdmission.counts.returned,
    region_refused_again: regionAdmission.counts.refusedAgain,
    region_returns_expected: regionAdmission.expectedReturns,
    members: fleet.liveMembers().length,
    endpoint_ends: quarantine.crashes,
    requests_held: quarantine.holds.size,
    customers_over_share: shares.overShare(now),
    turns_yielded: shares.yielded,
    endpoint_limits: endpointTerms.limits.size,
    endpoint_limits_withheld: endpointTerms.limits.withheld,
    endpoint_limits_ignored: endpointTerms.limits.ignored,
    endpoints_leaving: endpointTerms.departures.size,
    endpoints_resting: endpointTerms.backoffs.activeCount(now),
    endpoint_rests_ignored: endpointTerms.backoffs.ignored,
    endpoint_health_checks: coldChecks.checks,
    endpoints_slow: pace.slow,
    endpoint_paces_shared: pace.shared,
    endpoint_paces_received: pace.received,
    services_busy: earlyRelay.relay.isOn ? earlyRelay.own.busyServices(now) : 0,
    early_relays: earlyRelay.relay.counts.requests,
    early_relay_tokens: earlyRelay.relay.counts.tokens,
    document_version: catalogue.document?.version ?? 0,
    catalogue_epoch: catalogue.position.epoch,
    catalogue_revision: catalogue.position.revision,
    catalogue_whole_reads: catalogue.fullReads,
    catalogue_history_misses: catalogue.compactedReads,
    store_reachable: catalogue.reachable ? 1 : 0,
    store_age_ms: Math.round(catalogueAge(catalogue, now) ?? -1),
    connections_opened: connections.opened,
    request_body_bytes: bodies.heldBytes,
    datagram_bytes_sent: datagrams.counts.sent,
    datagram_bytes_received: datagrams.counts.received,
    datagrams_foreign: datagrams.counts.undecodable,
    datagrams_unaddressed: datagrams.counts.unaddressed,
  };
}
