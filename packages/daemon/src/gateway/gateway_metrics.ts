/**
 * Metrics of an entry in the Prometheus text format.
 *
 * Plain counters without a metrics library: the library takes a tenth of the startup time, and an entry that
 * was killed serves nothing until it is back.
 *
 * @module
 */
import type { CallRefusalReason, RetryCounts } from "@sassafrasstep/core";

/** Upper bounds of the answer time buckets in milliseconds. A further bucket has no bound. */
const TIME_BOUNDS_MS = [50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000];

/** Counters of an entry. */
export class GatewayMetrics {
  readonly #refusals = new Map<CallRefusalReason, number>();
  readonly #answers = new Map<number, number>();
  readonly #times = new Array<number>(TIME_BOUNDS_MS.length + 1).fill(0);
  #timeSum = 0;

  /** Counts a request that the entry refused. */
  countRefusal(reason: CallRefusalReason): void {
    this.#refusals.set(reason, (this.#refusals.get(reason) ?? 0) + 1);
  }

  /** Counts an answer from an endpoint that has ended. */
  recordAnswer(status: number, durationMs: number): void {
    this.#answers.set(status, (this.#answers.get(status) ?? 0) + 1);
    const bucket = TIME_BOUNDS_MS.findIndex((bound) => durationMs <= bound);
    this.#times[bucket < 0 ? TIME_BOUNDS_MS.length : bucket]!++;
    this.#timeSum += durationMs;
  }

  /** Returns all counters, those of retries and the given gauges in the Prometheus text format. */
  toPrometheus(
    gauges: Readonly<Record<string, number>>,
    retries: RetryCounts,
  ): string {
    const lines = Object.entries(gauges).map(([name, value]) =>
      `sassafrasstep_${name} ${value}`
    );
    for (const [reason, count] of this.#refusals) {
      lines.push(`sassafrasstep_refusals_total{reason="${reason}"} ${count}`);
    }
    for (const [status, count] of this.#answers) {
      lines.push(`sassafrasstep_answers_total{status="${status}"} ${count}`);
    }
    for (const [kind, count] of retries.sent) {
      lines.push(`sassafrasstep_retries_total{kind="${kind}"} ${count}`);
    }
    for (const [kind, count] of retries.denied) {
      lines.push(`sassafrasstep_retries_denied_total{kind="${kind}"} ${count}`);
    }
    let sum = 0;
    this.#times.forEach((count, index) => {
      sum += count;
      const bound = TIME_BOUNDS_MS[index] ?? "+Inf";
      lines.push(`sassafrasstep_answer_ms_bucket{le="${bound}"} ${sum}`);
    });
    lines.push(`sassafrasstep_answer_ms_sum ${Math.round(this.#timeSum)}`);
    lines.push(`sassafrasstep_answer_ms_count ${sum}`);
    return `${lines.join("\n")}\n`;
  }
}
