/**
 * What is known about the contention that the endpoints of one service report: its average, and for how long a report
 * tells something about the present.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";

/** Reported contention of a machine that is as fast as usual. */
export const USUAL_CONTENTION = 100;

/**
 * Bounds of a reported factor. A false figure beyond them would send all work to an endpoint, or none for as long as
 * the figure counts.
 */
const MIN_FACTOR = 0.7;
const MAX_FACTOR = 3;
/** Weight of the newest report in the averages. */
const AVERAGE_WEIGHT = 0.02;
/** Span assumed until enough pairs of reports show how fast the figures change. */
const INITIAL_SPAN_MS = 500;
const MIN_SPAN_MS = 150;
const MAX_SPAN_MS = 2_000;
/** Step by which one pair of reports changes the span, and the largest step, as fractions of the span. */
const SPAN_STEP = 0.02;
const MAX_SPAN_STEP = 0.1;
/** Variance below which the figures don't differ, so that nothing can be learned from them. */
const MIN_VARIANCE = 0.01;

/** A reported factor on the duration of work, and when it was true. */
export interface ContentionReport {
  readonly factor: number;
  readonly at: Instant;
}

/** Average and lifetime of reported contention. */
export class ContentionModel {
  #average = 1;
  #variance = 0;
  #span = INITIAL_SPAN_MS;
  #isReported = false;

  /** Whether any endpoint has reported contention. */
  get isReported(): boolean {
    return this.#isReported;
  }

  /** Average factor on the duration of work, which is expected where nothing recent is known. */
  get average(): number {
    return this.#average;
  }

  /** Age in milliseconds at which a report says nothing about the present any more. */
  get span(): number {
    return this.#span;
  }

  /** Expected factor on the duration of work, from the latest report of an endpoint. */
  expected(report: ContentionReport | undefined, now: Instant): number {
    const average = this.#average;
    if (report === undefined) {
      return average;
    }
    const weight = 1 - (now - report.at) / this.#span;
    return weight <= 0
      ? average
      : average + (report.factor - average) * Math.min(1, weight);
  }

  /** Learns from a report and the one that the same endpoint made before. */
  learn(
    report: ContentionReport,
    previous: ContentionReport | undefined,
  ): void {
    this.#isReported = true;
    const deviation = report.factor - this.#average;
    this.#average += AVERAGE_WEIGHT * deviation;
    this.#variance += AVERAGE_WEIGHT * (deviation ** 2 - this.#variance);
    if (previous !== undefined) {
      this.#learnSpan(report, previous);
    }
  }

  /** Notes that an endpoint has reported contention to another entry. */
  noteReported(): void {
    this.#isReported = true;
  }

  /**
   * Two reports differ like two independent ones if the figure was drawn anew between them, and not at all if it was
   * not. With one draw each span, the first has the probability `gap / span`.
   */
  #learnSpan(report: ContentionReport, previous: ContentionReport): void {
    const gap = report.at - previous.at;
    if (gap <= 0 || gap > this.#span || this.#variance < MIN_VARIANCE) {
      return;
    }
    const difference = (report.factor - previous.factor) ** 2 /
      (2 * this.#variance);
    const step = SPAN_STEP * (gap / this.#span - difference);
    const bounded = Math.max(-MAX_SPAN_STEP, Math.min(MAX_SPAN_STEP, step));
    this.#span = Math.max(
      MIN_SPAN_MS,
      Math.min(MAX_SPAN_MS, this.#span * (1 + bounded)),
    );
  }
}

/** Converts a reported percentage into a bounded factor on the duration of work. */
export function contentionFactor(contention: number): number {
  return Math.max(
    MIN_FACTOR,
    Math.min(MAX_FACTOR, contention / USUAL_CONTENTION),
  );
}
