/**
 * Keeps the recent crashes of endpoints and the requests lost in them, from the reports of all entries.
 *
 * @module
 */
import { after, type ContentDigest, type Instant } from "../ids/index.ts";
import {
  type CrashingRequest,
  findCrashingRequests,
  type ObservedCrash,
} from "./crash_analysis.ts";
import type { CrashReport, RequestAtCrash } from "./quarantine_messages.ts";

/**
 * Requests that crash endpoints may arrive minutes apart. An older crash is weak evidence, and a caller that
 * continues to send the request without an answer will be present at the next three crashes.
 */
const CRASH_RETENTION_MS = 300_000;
/**
 * Reports within this time of each other describe the same crash. Entries differ because the crash of an
 * endpoint that fell silent is dated from its last sign of life.
 */
const SAME_CRASH_WINDOW_MS = 3_000;
/**
 * Limits for the number of crashes and of requests in each. Both limits together take about two megabytes.
 */
const MAX_CRASHES = 128;
const MAX_REQUESTS_PER_CRASH = 256;
/**
 * After this many crashes a request is sent as a trial only, and not sent to another endpoint at once when it
 * is lost again, because the next crash may identify the cause.
 */
const SUSPECT_CRASHES = 2;

/** Collects crash reports and counts crashes per request. */
export class CrashHistory {
  readonly #crashes = new Map<string, ObservedCrash>();
  /** Number of crashes by request. Kept separately because it is read each time a request is sent. */
  readonly #crashCounts = new Map<ContentDigest, number>();

  /** Adds an entry's report. Several entries report the same crash. */
  add(report: CrashReport, now: Instant): void {
    const crash = this.#findOrAdd(report, now);
    for (const request of report.victims) {
      this.#addRequest(crash, request);
    }
    this.#removeOld(now);
  }

  /** Records that an endpoint answered a request. The request did not cause the crashes before. */
  noteAnswered(content: ContentDigest, now: Instant): void {
    if (!this.has(content)) {
      return;
    }
    for (const { at, requests } of this.#crashes.values()) {
      if (at <= now && requests.delete(content)) {
        this.#changeCrashCount(content, -1);
      }
    }
  }

  /** Whether an endpoint crashed while the request was in progress, and none answered it since. */
  has(content: ContentDigest): boolean {
    return this.#crashCounts.has(content);
  }

  /** Whether the request was present at enough crashes to be sent as a trial only. */
  isSuspect(content: ContentDigest): boolean {
    return this.crashCount(content) >= SUSPECT_CRASHES;
  }

  /** Returns the number of crashes at which the request was present since an endpoint last answered it. */
  crashCount(content: ContentDigest): number {
    return this.#crashCounts.get(content) ?? 0;
  }

  /** Returns the requests that caused those crashes that no held request explains. */
  findCrashingRequests(
    isHeld: (content: ContentDigest) => boolean,
  ): CrashingRequest[] {
    const unexplained = [...this.#crashes.values()].filter(({ requests }) =>
      ![...requests.keys()].some(isHeld)
    );
    return findCrashingRequests(unexplained);
  }

  /**
   * Returns the crash that other entries already reported, or adds a new one. An endpoint that does not
   * announce its restarts may crash again under the same id.
   */
  #findOrAdd(report: CrashReport, now: Instant): ObservedCrash {
    const reported = crashFromReport(report, now);
    for (let number = 0;; number++) {
      const key = `${report.endpoint} ${report.life ?? ""} ${number}`;
      const known = this.#crashes.get(key);
      if (known === undefined) {
        this.#crashes.set(key, reported);
        return reported;
      }
      if (Math.abs(known.at - reported.at) < SAME_CRASH_WINDOW_MS) {
        return known;
      }
    }
  }

  #addRequest(
    { requests, trials }: ObservedCrash,
    { content, caller, exposure, trial }: RequestAtCrash,
  ): void {
    const known = requests.get(content);
    if (known === undefined && requests.size >= MAX_REQUESTS_PER_CRASH) {
      return;
    }
    if (known === undefined) {
      this.#changeCrashCount(content, 1);
    }
    const callers = known ?? new Map();
    callers.set(caller, Math.max(exposure, callers.get(caller) ?? 0));
    requests.set(content, callers);
    if (trial) {
      trials.add(content);
    }
  }

  #changeCrashCount(content: ContentDigest, change: 1 | -1): void {
    const count = this.crashCount(content) + change;
    if (count > 0) {
      this.#crashCounts.set(content, count);
    } else {
      this.#crashCounts.delete(content);
    }
  }

  #removeOld(now: Instant): void {
    for (const [key, { at, requests }] of this.#crashes) {
      if (now - at > CRASH_RETENTION_MS || this.#crashes.size > MAX_CRASHES) {
        this.#crashes.delete(key);
        [...requests.keys()].forEach((content) =>
          this.#changeCrashCount(content, -1)
        );
      }
    }
  }
}

function crashFromReport(report: CrashReport, now: Instant): ObservedCrash {
  const { service, zone, softwareVersion, others, age } = report;
  return {
    service,
    zone,
    softwareVersion,
    otherEndpoints: others,
    at: after(now, -age),
    requests: new Map(),
    trials: new Set(),
  };
}
