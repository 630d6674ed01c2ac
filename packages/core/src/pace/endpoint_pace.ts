/**
 * How fast an endpoint is at present, compared with its service's other endpoints.
 *
 * @module
 */
import { after, type Instant } from "../ids/index.ts";
import { contentionFactor, type ContentionReport } from "./contention_model.ts";
import { ServicePace } from "./service_pace.ts";

/** Weight of the newest measurement in the lasting pace. A few queued answers must not make an endpoint look slow. */
const LASTING_WEIGHT = 0.1;
/** Shorter answers say more about the network than about the endpoint. */
const MIN_MEASURED_ANSWER_MS = 10;
/** Largest ratio of one measurement to the usual, and bounds of the lasting pace. */
const MAX_MEASURED_RATIO = 3;
const MIN_LASTING = 0.6;
const MAX_LASTING = 2;
/**
 * A figure is shared with peers if it differs by this much from what they expect by themselves: smaller differences change
 * no choice.
 */
const MIN_TOLD_DIFFERENCE = 0.3;
/** Largest age, as a fraction of the span, of a report that a measured duration is corrected by. */
const MAX_MEASURED_AGE = 0.25;
/** Age at which a peer's figure is taken as false. */
const MAX_TOLD_AGE_MS = 5_000;

/** The pace of one endpoint. */
export class EndpointPace {
  readonly #service: ServicePace;
  /** The newest report, from the endpoint itself or a peer. */
  #report: ContentionReport | undefined;
  /** The newest report that the endpoint made to this entry. */
  #own: ContentionReport | undefined;
  /** What all entries of the region know, from this entry or a peer. */
  #shared: ContentionReport | undefined;
  #lasting = 1;

  constructor(service = new ServicePace()) {
    this.#service = service;
  }

  /** Whether decisions use the pace. */
  get isInUse(): boolean {
    return this.#service.isInUse;
  }

  /** Records how long work takes on the endpoint's machine, as a percentage of the usual time. */
  recordContention(contention: number, now: Instant): void {
    const report = { factor: contentionFactor(contention), at: now };
    this.#service.contention.learn(report, this.#own);
    this.#own = report;
    this.#report = report;
  }

  /** Records what the endpoint reported to a peer `age` milliseconds ago. */
  receiveContention(
    { contention, age }: { contention: number; age: number },
    now: Instant,
  ): void {
    if (!(age >= 0 && age <= MAX_TOLD_AGE_MS && contention > 0)) {
      return;
    }
    this.#service.contention.noteReported();
    const report = {
      factor: contentionFactor(contention),
      at: after(now, -age),
    };
    if (report.at > (this.#shared?.at ?? -Infinity)) {
      this.#shared = report;
    }
    if (report.at > (this.#report?.at ?? -Infinity)) {
      this.#report = report;
    }
  }

  /** The difference between what the endpoint reported to this entry and what peers expect, 0 if it isn't worth sharing. */
  unsharedDifference(now: Instant): number {
    const { contention } = this.#service;
    const own = this.#own;
    if (
      own === undefined || own.at <= (this.#shared?.at ?? -Infinity) ||
      now - own.at >= contention.span
    ) {
      return 0;
    }
    const difference = Math.abs(
      contention.expected(own, now) - contention.expected(this.#shared, now),
    );
    return difference >= MIN_TOLD_DIFFERENCE ? difference : 0;
  }

  /** Returns the newest report to this entry, and counts it as known to the peers. */
  share(now: Instant): { contention: number; age: number } | undefined {
    this.#shared = this.#own;
    return this.#own === undefined ? undefined : {
      contention: Math.round(this.#own.factor * 100),
      age: now - this.#own.at,
    };
  }

  /** Expected duration of work at present, relative to the endpoint's usual one. */
  contention(now: Instant): number {
    const { isInUse, contention } = this.#service;
    return isInUse
      ? contention.expected(this.#report, now) / contention.average
      : 1;
  }

  /**
   * The same for work whose answer has just reported the machine's contention, which measured durations are corrected
   * by.
   */
  measuredContention(now: Instant): number {
    const { isInUse, contention } = this.#service;
    const own = this.#own;
    return isInUse && own !== undefined &&
        now - own.at < contention.span * MAX_MEASURED_AGE
      ? own.factor / contention.average
      : 1;
  }

  /** The lasting factor on the duration of a plain endpoint's answers. */
  get lasting(): number {
    return this.#service.isInUse ? this.#lasting : 1;
  }

  /** Expected duration of work at present, relative to the service's usual one. */
  slowdown(now: Instant): number {
    return this.lasting * this.contention(now);
  }

  /** Usual milliseconds until a plain endpoint's answer, 0 if not measured or not in use. */
  get answerTime(): number {
    const { isInUse, answerTime } = this.#service;
    return isInUse && answerTime !== undefined ? answerTime * this.#lasting : 0;
  }

  /** Learns from a whole answer of a plain endpoint. */
  recordAnswer(duration: number, now: Instant): void {
    if (!(duration >= MIN_MEASURED_ANSWER_MS)) {
      return;
    }
    const corrected = duration / this.measuredContention(now);
    const usual = this.#service.answerTime;
    if (usual !== undefined) {
      const ratio = Math.max(
        1 / MAX_MEASURED_RATIO,
        Math.min(MAX_MEASURED_RATIO, corrected / usual),
      );
      this.#lasting = Math.max(
        MIN_LASTING,
        Math.min(
          MAX_LASTING,
          this.#lasting * (ratio / this.#lasting) ** LASTING_WEIGHT,
        ),
      );
    }
    this.#service.learn(corrected);
  }
}
