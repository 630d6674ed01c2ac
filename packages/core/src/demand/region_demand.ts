/**
 * The demand at all entries of a region, as far as this entry knows.
 *
 * @module
 */
import type {
  Incarnation,
  Instant,
  Milliseconds,
  ServiceId,
} from "../ids/index.ts";
import type { StallAdjustedClockView } from "../listening/index.ts";
import {
  type DemandReport,
  NO_DEMAND,
  type PlacedGroup,
  type WaitingGroup,
} from "./demand_messages.ts";

/** Age at which a peer's report no longer counts: three reports were lost, or the peer has ended. */
export const DEMAND_LIFETIME_MS = 800;

interface ReceivedDemand {
  readonly report: DemandReport;
  readonly receivedAt: Instant;
}

/** Selects waiting groups that go before a request. */
export interface QueuePosition {
  readonly service: ServiceId;
  readonly rank: number;
  readonly late: boolean;
}

/** Sums over several groups. */
export interface DemandTotals {
  readonly requests: number;
  readonly tokens: number;
}

/** Keeps this entry's demand and the newest reports of its peers. */
export class RegionDemand {
  readonly #clock: StallAdjustedClockView;
  readonly #peers = new Map<Incarnation, ReceivedDemand>();
  #own: DemandReport = NO_DEMAND;

  constructor(clock: StallAdjustedClockView) {
    this.#clock = clock;
  }

  /** This entry's own demand when it was last measured. */
  get own(): DemandReport {
    return this.#own;
  }

  setOwn(report: DemandReport): void {
    this.#own = report;
  }

  /** Replaces a peer's previous report. */
  receive(from: Incarnation, report: DemandReport, now: Instant): void {
    this.#peers.set(from, { report, receivedAt: now });
  }

  /** Drops the reports of peers that have fallen silent. */
  expire(now: Instant): void {
    for (const [from, { receivedAt }] of this.#peers) {
      if (this.#clock.since(receivedAt, now) > DEMAND_LIFETIME_MS) {
        this.#peers.delete(from);
      }
    }
  }

  /** Number of entries whose demand is known, including this one. */
  get entries(): number {
    return this.#peers.size + 1;
  }

  /** Reports of this entry and its peers. */
  *reports(): Iterable<DemandReport> {
    yield this.#own;
    for (const { report } of this.#peers.values()) {
      yield report;
    }
  }

  /** Reports of the peers, with the time since each was received. */
  *peerReports(
    now: Instant,
  ): Iterable<{ report: DemandReport; age: Milliseconds }> {
    for (const { report, receivedAt } of this.#peers.values()) {
      yield { report, age: this.#clock.since(receivedAt, now) };
    }
  }

  /** What waits in the region and is served before a request at the given position, or together with it. */
  waitingAhead(position: QueuePosition): DemandTotals {
    return sum(
      this.reports(),
      ({ waiting }) => waiting.filter((group) => isAhead(group, position)),
    );
  }

  /** What was sent to endpoints of a service in the region within the last second. */
  placedPerSecond(service: ServiceId): DemandTotals {
    return sum(
      this.reports(),
      ({ placed }) =>
        placed.filter((group: PlacedGroup) => group.service === service),
    );
  }
}

/** Requests that can still meet their objective go first, then by rank. */
function isAhead(group: WaitingGroup, position: QueuePosition): boolean {
  if (group.service !== position.service) {
    return false;
  }
  return group.late === position.late
    ? group.rank <= position.rank
    : position.late;
}

function sum(
  reports: Iterable<DemandReport>,
  select: (report: DemandReport) => readonly DemandTotals[],
): DemandTotals {
  let requests = 0;
  let tokens = 0;
  for (const report of reports) {
    for (const group of select(report)) {
      requests += group.requests;
      tokens += group.tokens;
    }
  }
  return { requests, tokens };
}
