/**
 * Status and metrics reports for operators.
 *
 * @module
 */
import {
  type Blackboard,
  type CounterValue,
  formatRevision,
  type HistogramSummary,
  type Instant,
  type Metrics,
  type TextFault,
} from "@sassafrasstep/core";

/** Status of a peer, as known to this entry. */
export interface MemberStatus {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly controlUrl: string;
  readonly state: string;
  readonly health: string;
  readonly revision: number;
  readonly silentMs: number;
}

/** Status of an endpoint. */
export interface EndpointStatus {
  readonly id: string;
  readonly pool: string;
  readonly zone: string;
  readonly state: string;
  /** Why the endpoint is suspect or leaving; empty otherwise. */
  readonly why: string;
  readonly inFlight: number;
  readonly running: number;
  readonly slots: number;
  readonly model: string;
}

/** Status of an entry. */
export interface Status {
  readonly id: string;
  readonly incarnation: string;
  readonly zone: string;
  readonly region: string;
  readonly url: string;
  readonly controlUrl: string;
  readonly phase: string;
  readonly revision: number;
  /** Why the newest revision is not in force, empty if it is. */
  readonly whyNotNewer: string;
  readonly rejected: {
    readonly revision: number;
    readonly faults: readonly TextFault[];
  } | null;
  readonly platformReachable: boolean;
  readonly platformReads: number;
  readonly pauses: number;
  readonly active: number;
  readonly queued: number;
  readonly usedKeys: number;
  readonly outcomeCopies: number;
  readonly owns: readonly string[];
  readonly members: readonly MemberStatus[];
  readonly endpoints: readonly EndpointStatus[];
}

/** Histograms and counters of an entry. */
export interface MetricsReport {
  readonly summaries: readonly HistogramSummary[];
  readonly counts: readonly CounterValue[];
}

/** Builds the status report from the blackboard. */
export function reportStatus(board: Blackboard, now: Instant): Status {
  const { self, lifecycle, configuration, requests, actions } = board;
  return {
    id: self.id,
    incarnation: self.incarnation,
    zone: self.zone,
    region: self.region,
    url: self.url,
    controlUrl: self.controlUrl,
    phase: lifecycle.phase,
    revision: configuration.revision,
    whyNotNewer: whyNotNewer(board),
    rejected: configuration.rejected ?? null,
    platformReachable: configuration.platformReachable,
    platformReads: configuration.platformReads,
    pauses: lifecycle.pauses,
    active: requests.active,
    queued: requests.queued,
    usedKeys: actions.usedKeys,
    outcomeCopies: actions.copies,
    owns: actions.owns,
    members: reportMembers(board, now),
    endpoints: reportEndpoints(board),
  };
}

/** Builds the metrics report. */
export function reportMetrics(metrics: Metrics): MetricsReport {
  return { summaries: metrics.summaries(), counts: metrics.counts() };
}

function whyNotNewer({ configuration }: Blackboard): string {
  const {
    rejected,
    missingRevision,
    platformReachable,
    deployment,
    servedOlder,
    revision,
  } = configuration;
  if (rejected !== undefined) {
    return `revision ${
      formatRevision(rejected.revision)
    } was rejected with ${rejected.faults.length} faults`;
  }
  if (missingRevision !== undefined) {
    return `revision ${
      formatRevision(missingRevision)
    } is held by a peer and not fetched yet`;
  }
  if (deployment === undefined) {
    return "no text was read yet";
  }
  if (servedOlder !== undefined) {
    return `the configuration service returns revision ${servedOlder}, older than ${
      formatRevision(revision)
    } in force`;
  }
  return platformReachable
    ? ""
    : "the configuration service does not answer, newer revisions may exist";
}

function reportMembers(
  { membership }: Blackboard,
  now: Instant,
): MemberStatus[] {
  return [...membership.members.values()].map((
    { record, revision, health, heardAt },
  ) => ({
    id: record.id,
    zone: record.zone,
    region: record.region,
    controlUrl: record.controlUrl,
    state: record.state,
    health,
    revision,
    silentMs: Math.round(now - heardAt),
  }));
}

function reportEndpoints({ endpoints }: Blackboard): EndpointStatus[] {
  return [...endpoints.endpoints.values()].map((
    { vm, state, leaving, inFlight, load },
  ) => ({
    id: vm.id,
    pool: vm.pool,
    zone: vm.zone,
    state,
    why: leaving === undefined
      ? (state === "suspect" ? "did not answer" : "")
      : `leaving, says ${leaving}`,
    inFlight: inFlight.size,
    running: load?.running ?? 0,
    slots: load?.slots ?? 0,
    model: load?.model ?? "",
  }));
}
