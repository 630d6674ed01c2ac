/**
 * Latency histograms per customer and request class, and counters. The number of labels is bounded: customers
 * beyond the limit share the label `other`.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { RequestClass } from "../text/index.ts";

/** Number of customers with histograms of their own. */
export const MAX_CUSTOMER_LABELS = 32;
/** Label shared by all customers beyond the limit. */
export const OTHER_CUSTOMERS = "other";
/** Longest duration that a histogram can hold. Longer durations are recorded as this one. */
const MAX_RECORDED_MS = 600_000;
const QUANTILES = [0.5, 0.95, 0.99] as const;

/** The measured durations, in milliseconds. */
export type Measure =
  | "first_token"
  | "between_tokens"
  | "whole_answer"
  | "queue_wait";

/** Percentiles of one histogram, in milliseconds. */
export interface HistogramSummary {
  readonly measure: Measure;
  readonly customer: string;
  readonly requestClass: RequestClass;
  readonly count: number;
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
  readonly max: number;
}

/** The value of one counter. */
export interface CounterValue {
  readonly name: string;
  readonly label: string;
  readonly value: number;
}

/** All metrics of one entry. */
export class Metrics {
  readonly #histograms = new Map<
    string,
    { histogram: Histogram; labels: [Measure, string, RequestClass] }
  >();
  readonly #customers = new Set<string>();
  readonly #counts = new Map<
    string,
    { name: string; label: string; value: number }
  >();

  /** Records a duration. */
  record(
    measure: Measure,
    { customer, requestClass, ms }: {
      customer: string;
      requestClass: RequestClass;
      ms: number;
    },
  ): void {
    const label = this.#labelOf(customer);
    const key = `${measure}|${label}|${requestClass}`;
    let series = this.#histograms.get(key);
    if (series === undefined) {
      const histogram = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_RECORDED_MS,
        numberOfSignificantValueDigits: 2,
        bitBucketSize: 32,
      });
      series = { histogram, labels: [measure, label, requestClass] };
      this.#histograms.set(key, series);
    }
    series.histogram.recordValue(
      Math.min(MAX_RECORDED_MS, Math.max(0, Math.round(ms))),
    );
  }

  /** Adds to a counter. `label` must be one of a fixed set of names, never text from a caller. */
  count(name: string, label = "", amount = 1): void {
    const key = `${name}|${label}`;
    const existing = this.#counts.get(key);
    if (existing === undefined) {
      this.#counts.set(key, { name, label, value: amount });
    } else {
      existing.value += amount;
    }
  }

  /** Returns the value of a counter, 0 if nothing was counted yet. */
  valueOf(name: string, label = ""): number {
    return this.#counts.get(`${name}|${label}`)?.value ?? 0;
  }

  /** Returns the percentiles of all histograms. */
  summaries(): HistogramSummary[] {
    return [...this.#histograms.values()].map((
      { histogram, labels: [measure, customer, requestClass] },
    ) => ({
      measure,
      customer,
      requestClass,
      count: histogram.totalCount,
      p50: histogram.getValueAtPercentile(50),
      p95: histogram.getValueAtPercentile(95),
      p99: histogram.getValueAtPercentile(99),
      max: histogram.maxValue,
    }));
  }

  /** Returns all counters. */
  counts(): CounterValue[] {
    return [...this.#counts.values()].map((count) => ({ ...count }));
  }

  /** Returns all metrics in the Prometheus text exposition format. */
  toPrometheus(): string {
    const lines: string[] = [];
    for (const summary of this.summaries()) {
      const labels =
        `customer="${summary.customer}",class="${summary.requestClass}"`;
      const values = [summary.p50, summary.p95, summary.p99];
      const name = `sassafrasstep_${summary.measure}_ms`;
      QUANTILES.forEach((quantile, index) =>
        lines.push(`${name}{${labels},quantile="${quantile}"} ${values[index]}`)
      );
      lines.push(`${name}_count{${labels}} ${summary.count}`);
    }
    for (const { name, label, value } of this.counts()) {
      lines.push(
        `sassafrasstep_${name}_total${
          label === "" ? "" : `{kind="${label}"}`
        } ${value}`,
      );
    }
    return `${lines.join("\n")}\n`;
  }

  #labelOf(customer: string): string {
    if (this.#customers.has(customer)) {
      return customer;
    }
    if (this.#customers.size >= MAX_CUSTOMER_LABELS) {
      this.count("customers_folded");
      return OTHER_CUSTOMERS;
    }
    this.#customers.add(customer);
    return customer;
  }
}
