/**
 * Keeps the recent crashes of endpoints and what was present at them, from the reports of all entries.
 *
 * @module
 */
import { after, type Instant } from "../ids/index.ts";
import {
  type CrashingSubject,
  findCrashingSubjects,
  type ObservedCrash,
} from "./crash_analysis.ts";
import type { CrashReport, SubjectAtCrash } from "./quarantine_messages.ts";
import { type CrashSubject, isPart } from "./subject.ts";

/**
 * Requests that crash endpoints may arrive many minutes apart. What was not answered in between is still evidence.
 */
const CRASH_RETENTION_MS = 1_800_000;
/**
 * Reports within this time of each other describe the same crash. Entries differ because the crash of an
 * endpoint that fell silent is dated from its last sign of life.
 */
const SAME_CRASH_WINDOW_MS = 3_000;
/**
 * Limits for the number of crashes, and of requests and of prompt parts in each. All limits together take about four
 * megabytes.
 */
const MAX_CRASHES = 128;
const MAX_REQUESTS_PER_CRASH = 256;
const MAX_PARTS_PER_CRASH = 256;
/**
 * Entries report their parts of a crash within this time of each other. Until then, what only some of them have reported
 * would be missing beside what the others have.
 */
const SETTLING_MS = 300;
/**
 * After this many crashes a request is sent as a trial only, and not sent to another endpoint at once when it
 * is lost again, because the next crash may identify the cause.
 */
const SUSPECT_CRASHES = 2;

/** Collects crash reports and counts crashes by what was present. */
export class CrashHistory {
  readonly #crashes = new Map<string, ObservedCrash>();
  /** Number of crashes by subject. Kept separately because it is read each time a request is sent. */
  readonly #crashCounts = new Map<CrashSubject, number>();
  /** Crashes that have not been analysed since all entries reported them. */
  readonly #unsettled = new Set<ObservedCrash>();

  /** Adds an entry's report. Several entries report the same crash. */
  add(report: CrashReport, now: Instant): void {
    const crash = this.#findOrAdd(report, now);
    for (const victim of report.victims) {
      this.#addSubject(crash, victim);
    }
    this.#removeOld(now);
  }

  /** Records that an endpoint answered a request with the subject, which did not cause the crashes up to a time. */
  noteAnswered(subject: CrashSubject, until: Instant): void {
    if (!this.has(subject)) {
      return;
    }
    for (const { at, present } of this.#crashes.values()) {
      if (at <= until && present.delete(subject)) {
        this.#changeCrashCount(subject, -1);
      }
    }
  }

  /** Whether an endpoint crashed with the subject present, and none answered it since. */
  has(subject: CrashSubject): boolean {
    return this.#crashCounts.has(subject);
  }

  /** Whether a subject was present at enough crashes for requests with it to be sent as trials only. */
  isSuspect(subject: CrashSubject): boolean {
    return this.crashCount(subject) >= SUSPECT_CRASHES;
  }

  /** Whether a crash at which a subject was present may still be reported by other entries. */
  isSettling(subject: CrashSubject): boolean {
    return [...this.#unsettled].some(({ present }) => present.has(subject));
  }

  /** Returns the number of crashes at which a subject was present since an endpoint last answered it. */
  crashCount(subject: CrashSubject): number {
    return this.#crashCounts.get(subject) ?? 0;
  }

  /** Removes and returns the crashes that all entries have reported since the last call. */
  takeSettled(now: Instant): readonly ObservedCrash[] {
    const settled = [...this.#unsettled].filter(({ reportedAt }) =>
      now - reportedAt >= SETTLING_MS
    );
    settled.forEach((crash) => this.#unsettled.delete(crash));
    return settled;
  }

  /**
   * Returns what caused those settled crashes that nothing held explains. `heldAt` returns what was present at a crash and
   * is held.
   */
  findCrashingSubjects(
    heldAt: (crash: ObservedCrash) => readonly CrashSubject[],
  ): CrashingSubject[] {
    const crashes = [...this.#crashes.values()]
      .filter((crash) => !this.#unsettled.has(crash))
      .map((crash) => ({ crash, held: heldAt(crash) }));
    return findCrashingSubjects({
      requests: crashes.filter(({ held }) => held.length === 0)
        .map(({ crash }) => crash),
      // A request that is held may crash endpoints because of a part that others have too.
      parts: crashes.filter(({ held }) => !held.some(isPart))
        .map(({ crash }) => crash),
    });
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
        this.#unsettled.add(reported);
        return reported;
      }
      if (Math.abs(known.at - reported.at) < SAME_CRASH_WINDOW_MS) {
        return known;
      }
    }
  }

  #addSubject(
    crash: ObservedCrash,
    { subject, caller, exposure, trial }: SubjectAtCrash,
  ): void {
    const { present, trials } = crash;
    const known = present.get(subject);
    if (known === undefined && isFull(crash, subject)) {
      return;
    }
    if (known === undefined) {
      this.#changeCrashCount(subject, 1);
    }
    const callers = known ?? new Map();
    callers.set(caller, Math.max(exposure, callers.get(caller) ?? 0));
    present.set(subject, callers);
    if (trial) {
      trials.add(subject);
    }
  }

  #changeCrashCount(subject: CrashSubject, change: 1 | -1): void {
    const count = this.crashCount(subject) + change;
    if (count > 0) {
      this.#crashCounts.set(subject, count);
    } else {
      this.#crashCounts.delete(subject);
    }
  }

  #removeOld(now: Instant): void {
    for (const [key, crash] of this.#crashes) {
      const { at, present } = crash;
      if (now - at > CRASH_RETENTION_MS || this.#crashes.size > MAX_CRASHES) {
        this.#crashes.delete(key);
        this.#unsettled.delete(crash);
        [...present.keys()].forEach((subject) =>
          this.#changeCrashCount(subject, -1)
        );
      }
    }
  }
}

/** Whether no further subject of the same kind is recorded at a crash. */
function isFull({ present }: ObservedCrash, subject: CrashSubject): boolean {
  if (present.size < Math.min(MAX_REQUESTS_PER_CRASH, MAX_PARTS_PER_CRASH)) {
    return false;
  }
  const ofPart = isPart(subject);
  const count = [...present.keys()].filter((other) => isPart(other) === ofPart)
    .length;
  return count >= (ofPart ? MAX_PARTS_PER_CRASH : MAX_REQUESTS_PER_CRASH);
}

function crashFromReport(report: CrashReport, now: Instant): ObservedCrash {
  const { service, zone, softwareVersion, others, age } = report;
  return {
    service,
    zone,
    softwareVersion,
    otherEndpoints: others,
    at: after(now, -age),
    reportedAt: now,
    present: new Map(),
    trials: new Set(),
  };
}
