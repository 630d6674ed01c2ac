/**
 * What this entry admitted, and the reports of it to the aggregator of its region.
 *
 * @module
 */
import type { CustomerId, Incarnation, Instant } from "../ids/index.ts";
import type { SpendingReport } from "./spending_messages.ts";

/** An entry reports all sums again this often, not only changed ones, which makes up for lost datagrams. */
const FULL_REPORT_PERIOD_MS = 2_000;

/** Sums of the units that this entry admitted since its process started. */
export class OwnSpending {
  readonly #incarnation: Incarnation;
  readonly #sums = new Map<CustomerId, number>();
  readonly #unreported = new Set<CustomerId>();
  #reportedAt = -Infinity;
  #fullReportAt = -Infinity;
  /** Whether an aggregator has counted any of the sums. */
  #isCounted = false;

  constructor(incarnation: Incarnation) {
    this.#incarnation = incarnation;
  }

  add(customer: CustomerId, cost: number): void {
    this.#sums.set(customer, (this.#sums.get(customer) ?? 0) + cost);
    this.#unreported.add(customer);
  }

  /** Includes a customer in the next report although its sum has not changed. */
  reportAgain(customer: CustomerId): void {
    this.#unreported.add(customer);
  }

  /** Makes all sums due for a report, for a new aggregator. */
  restart(): void {
    this.#reportedAt = -Infinity;
    this.#fullReportAt = -Infinity;
  }

  isReportDue(now: Instant, period: number): boolean {
    return now - this.#reportedAt >= period;
  }

  /** Whether the next report has to contain all sums. */
  isFullReportDue(now: Instant): boolean {
    return now - this.#fullReportAt >= FULL_REPORT_PERIOD_MS;
  }

  /** Creates a report of the changed sums or of all. `counted` is whether an aggregator counts this entry's sums. */
  createReport(
    { full, counted }: { full: boolean; counted: boolean },
    now: Instant,
  ): SpendingReport {
    const report = this.reportOf(full ? this.#sums.keys() : this.#unreported);
    this.#isCounted = this.#isCounted || counted;
    this.#unreported.clear();
    this.#reportedAt = now;
    this.#fullReportAt = full ? now : this.#fullReportAt;
    return report;
  }

  /** Creates a report of some customers that does not stand in for the next regular one, since it may be lost. */
  reportOf(customers: Iterable<CustomerId>): SpendingReport {
    const spent = [...customers].map((customer) => ({
      customer,
      sum: Math.round(this.#sums.get(customer) ?? 0),
    }));
    const first = !this.#isCounted;
    return { kind: "report", incarnation: this.#incarnation, first, spent };
  }
}
