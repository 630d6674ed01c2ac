/**
 * Applies decisions by the state of the whole region to the requests of this entry.
 *
 * @module
 */
import { NO_DEMAND } from "../demand/index.ts";
import {
  after,
  type Instant,
  instant,
  type Milliseconds,
  milliseconds,
  type ServiceId,
} from "../ids/index.ts";
import {
  type AdmissionCounts,
  type AdmissionRequest,
  RegionAdmission,
  type RegionAdmissionSources,
  StatedTimes,
} from "../overload/index.ts";
import type { Route } from "../routes/index.ts";
import type { Call } from "./call.ts";
import { startTime } from "./call_queue.ts";
import type { CallHead, CallRefusalReason, GatewayEmit } from "./messages.ts";
import type { RegionController } from "./region_controller.ts";

/** Time between two reviews of the queue. Estimates change with the reports of other entries, which are rarer. */
const REVIEW_PERIOD_MS = 100;
/** Least time between two log lines about refusals. */
const LOG_PERIOD_MS = 2_000;
const NO_COUNTS: AdmissionCounts = {
  refusedOnArrival: 0,
  refusedWaiting: 0,
  returned: 0,
  refusedAgain: 0,
};
/** Share of its time for which a request is held at the most, also if its place seems near. */
const MAX_HOLD_SHARE = 0.6;
/**
 * Age from which a request counts as that of a caller that has returned. A first attempt may have taken as long to
 * connect, and one that another region passed on has crossed between regions.
 */
const MIN_RETURN_AGE_MS = 60;
const RELAY_AGE_MS = 300;

/** Dependencies of `RegionCallAdmission`. */
export interface RegionCallAdmissionSources extends RegionAdmissionSources {
  readonly regions: Pick<RegionController, "prefillFraction">;
  readonly emit: GatewayEmit;
  /** Part of what waits at a request's position that goes before it, where customers share capacity; 1 by default. */
  readonly partAhead?: (call: Call, now: Instant) => number;
}

/** Decides for requests by what waits in the whole region. Decides nothing while the feature is off. */
export class RegionCallAdmission {
  readonly region: RegionAdmission;
  readonly #sources: RegionCallAdmissionSources;
  readonly #statedTimes = new StatedTimes();
  #nextReviewAt = instant(0);
  #nextLogAt = instant(0);
  #logged: AdmissionCounts | undefined;

  constructor(sources: RegionCallAdmissionSources) {
    this.#sources = sources;
    this.region = new RegionAdmission(sources);
  }

  /** Time since the first attempt of a new request's caller, 0 where it is not known. */
  ageOf({ name }: Route, { timeLeft, relay }: CallHead): Milliseconds {
    if (!this.region.isOn) {
      return milliseconds(0);
    }
    const age = this.#statedTimes.ageOf(name, timeLeft) ?? milliseconds(0);
    if (relay === undefined) {
      this.#statedTimes.record(name, timeLeft);
    }
    return age;
  }

  noteArrival(call: Call, now: Instant): void {
    if (this.region.isOn) {
      this.region.noteArrival(this.#requestOf(call, now), now);
    }
  }

  /** Counts a request that was added to the queue (1) or left it (-1). */
  noteQueued(call: Call, sign: 1 | -1, now: Instant): void {
    if (this.region.isOn) {
      this.region.noteQueue(this.#requestOf(call, now), sign);
    }
  }

  /** Whether a new request without a place is refused, `undefined` where the region's state is not known. */
  refuses(call: Call, now: Instant): boolean | undefined {
    if (!this.region.isInformed) {
      return undefined;
    }
    const part = this.#sources.partAhead?.(call, now) ?? 1;
    return this.region.refuses(this.#requestOf(call, now), now, part);
  }

  /** Expected wait of a new request, `undefined` where it is not known. */
  expectedWait(call: Call, now: Instant): Milliseconds | undefined {
    return this.region.isInformed
      ? this.region.expectedWait(this.#requestOf(call, now), now)
      : undefined;
  }

  /** Whether a late request leaves its place to one that waits at another entry. */
  leavesPlace(call: Call, now: Instant): boolean {
    return this.region.isInformed &&
      this.region.leavesPlace(this.#requestOf(call, now), now);
  }

  /**
   * Longest time for which a request is held, `undefined` where its entry decides as it does without knowledge of
   * the region. Requests that can still be on time are held for longer.
   */
  longestWait(call: Call, now: Instant): number | undefined {
    if (!this.region.isInformed || call.awaitsTrial) {
      return undefined;
    }
    return this.#requestOf(call, now).timeUntilLate > 0
      ? (call.endsAt - call.arrivedAt) * MAX_HOLD_SHARE
      : undefined;
  }

  isReviewDue(now: Instant): boolean {
    if (now < this.#nextReviewAt || !this.region.isInformed) {
      return false;
    }
    this.#nextReviewAt = after(now, REVIEW_PERIOD_MS);
    return true;
  }

  /** Returns the waiting requests that will get no place in time. `ordered` is in the order of service. */
  review(ordered: readonly Call[], now: Instant): Call[] {
    const requests = ordered.map((call) => this.#requestOf(call, now));
    const units = new Map<string, number>();
    for (const request of requests) {
      const group = groupOf(request);
      units.set(group, (units.get(group) ?? 0) + 1 + request.tokens);
    }
    const before = new Map<string, number>();
    return ordered.filter((call, index) => {
      const request = requests[index]!;
      const group = groupOf(request);
      const first = before.get(group) ?? 0;
      const share = first / units.get(group)!;
      const hopeless = call.offered === 0 && !call.awaitsTrial &&
        this.region.isHopeless(request, share, now) === true;
      if (hopeless) {
        this.region.countHopeless(request);
        return true;
      }
      before.set(group, first + 1 + request.tokens);
      return false;
    });
  }

  /** When the caller of a refused request should retry, `undefined` where the region's state is not known. */
  returnTime(
    call: Call,
    reason: CallRefusalReason,
    now: Instant,
  ): Milliseconds | undefined {
    return reason === "overloaded" && this.region.isInformed
      ? this.region.bookReturn(this.#requestOf(call, now), now)
      : undefined;
  }

  tick(now: Instant): void {
    this.region.tick(now);
    this.#logRefusals(now);
  }

  /** Writes a line while the region refuses requests, not one for each of them. */
  #logRefusals(now: Instant): void {
    const { counts, expectedReturns } = this.region;
    const before = this.#logged ?? NO_COUNTS;
    const refusedOnArrival = counts.refusedOnArrival - before.refusedOnArrival;
    const refusedWaiting = counts.refusedWaiting - before.refusedWaiting;
    if (now < this.#nextLogAt || refusedOnArrival + refusedWaiting === 0) {
      return;
    }
    this.#nextLogAt = after(now, LOG_PERIOD_MS);
    this.#logged = { ...counts };
    this.#sources.emit({
      kind: "log",
      part: "region",
      text: "Region is full.",
      fields: {
        refusedOnArrival,
        refusedWaiting,
        returned: counts.returned - before.returned,
        refusedAgain: counts.refusedAgain - before.refusedAgain,
        expectedReturns,
      },
    });
  }

  #requestOf(call: Call, now: Instant): AdmissionRequest {
    const { regions } = this.#sources;
    const { route, age, head } = call;
    const minAge = MIN_RETURN_AGE_MS +
      (head.relay === undefined ? 0 : RELAY_AGE_MS);
    return {
      service: call.services[0] as ServiceId,
      rank: call.rank,
      tokens: call.uncachedTokens,
      timeUntilLate: call.firstAttemptAt + route.objective -
        startTime(call, regions.prefillFraction) - now,
      timeLeft: call.endsAt - now,
      returned: age >= minAge,
    };
  }
}

/** Creates an admission that decides nothing. */
export function createDisabledAdmission(
  regions: RegionCallAdmissionSources["regions"],
): RegionCallAdmission {
  return new RegionCallAdmission({
    isOn: () => false,
    demand: { own: NO_DEMAND, reports: () => [], entries: 1 },
    regionEntries: () => 1,
    assumedRate: () => undefined,
    regions,
    emit: () => {},
  });
}

function groupOf(
  { service, rank, timeUntilLate }: AdmissionRequest,
): string {
  return `${service} ${rank} ${timeUntilLate < 0}`;
}
