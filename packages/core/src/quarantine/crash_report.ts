/**
 * Creates an entry's report of a crash.
 *
 * @module
 */
import {
  type CallerDigest,
  type ContentDigest,
  type EndpointId,
  type Instant,
  milliseconds,
  type PartDigest,
} from "../ids/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { CrashReport, SubjectAtCrash } from "./quarantine_messages.ts";
import type { CrashedEndpoint, LostAttempt } from "./crash_detector.ts";
import {
  ANY_CALLER,
  type CrashSubject,
  isPart,
  subjectsOf,
} from "./subject.ts";

/** Limit for the requests in one report. It exceeds the number that an entry usually has at one endpoint. */
const MAX_REQUESTS = 128;
/** Limit for the prompt parts in one report. Callers may send any number of them. */
const MAX_PARTS = 64;
/** Number of subjects in one datagram, which keeps it below 1,400 bytes. */
const SUBJECTS_PER_MESSAGE = 28;

/** The state that a report depends on beside the crash itself. */
export interface ReportContext {
  readonly endpoints: ReadonlyMap<EndpointId, EndpointRecord>;
  /** Whether an endpoint recently answered a request, which therefore does not crash endpoints. */
  readonly wasAnswered: (content: ContentDigest) => boolean;
  /** Returns the number of earlier crashes at which a subject was present. */
  readonly crashCountOf: (subject: CrashSubject) => number;
  /** Returns when a prompt with a part was last answered. */
  readonly lastAnswerTo: (part: PartDigest) => Instant | undefined;
}

/**
 * Creates the report. If subjects must be left out, those are that were at no earlier crash, those that were answered most
 * recently, and those with the longest exposure.
 */
export function createReport(
  { record, at, attempts }: CrashedEndpoint,
  { endpoints, wasAnswered, crashCountOf, lastAnswerTo }: ReportContext,
  now: Instant,
): CrashReport {
  const answeredAt = (subject: CrashSubject): number =>
    (isPart(subject) ? lastAnswerTo(subject) : undefined) ?? 0;
  const present = mergeCopies(attempts).filter(({ subject }) =>
    isPart(subject) || !wasAnswered(subject)
  ).sort((left, right) =>
    crashCountOf(right.subject) - crashCountOf(left.subject) ||
    answeredAt(left.subject) - answeredAt(right.subject) ||
    left.exposure - right.exposure
  );
  const requests = present.filter(({ subject }) => !isPart(subject));
  const parts = present.filter(({ subject }) => isPart(subject));
  return {
    endpoint: record.id,
    life: record.life,
    service: record.service,
    zone: record.zone,
    softwareVersion: record.softwareVersion,
    age: milliseconds(Math.round(now - at)),
    others: countOtherEndpoints(record, endpoints),
    victims: [
      ...parts.slice(0, MAX_PARTS),
      ...requests.slice(0, MAX_REQUESTS),
    ],
  };
}

/** Merges all requests with a subject, with the longest exposure. */
function mergeCopies(attempts: readonly LostAttempt[]): SubjectAtCrash[] {
  const merged = new Map<string, SubjectAtCrash>();
  for (const attempt of attempts) {
    const exposure = exposureOf(attempt);
    for (const subject of subjectsOf(attempt.fingerprint)) {
      const caller: CallerDigest = isPart(subject)
        ? ANY_CALLER
        : attempt.fingerprint.caller;
      const key = `${subject} ${caller}`;
      const existing = merged.get(key);
      const longest = Math.max(existing?.exposure ?? 0, exposure);
      merged.set(key, {
        subject,
        caller,
        exposure: milliseconds(Math.round(longest)),
        trial: attempt.trialOf.includes(subject) || existing?.trial === true,
      });
    }
  }
  return [...merged.values()];
}

/**
 * Time for which a request was at risk of crashing its endpoint. An endpoint that has begun to answer was not crashed by
 * the time for which the request was queued before.
 */
function exposureOf({ sentAt, begunAt, lostAt }: LostAttempt): number {
  return lostAt - (begunAt ?? sentAt);
}

/** Splits a report into parts that fit into a datagram each. */
export function splitReport(report: CrashReport): CrashReport[] {
  const { victims } = report;
  const count = Math.ceil(victims.length / SUBJECTS_PER_MESSAGE);
  return Array.from({ length: count }, (_, index) => {
    const start = index * SUBJECTS_PER_MESSAGE;
    return {
      ...report,
      victims: victims.slice(start, start + SUBJECTS_PER_MESSAGE),
    };
  });
}

function countOtherEndpoints(
  { id, service, zone }: EndpointRecord,
  endpoints: ReadonlyMap<EndpointId, EndpointRecord>,
): number {
  return [...endpoints.values()].filter((other) =>
    other.id !== id && other.service === service && other.zone === zone &&
    other.state === "ready"
  ).length;
}
