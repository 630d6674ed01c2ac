/**
 * Log entries for operators about crashes and held requests.
 *
 * @module
 */
import type { Instant, PartDigest } from "../ids/index.ts";
import type { HoldNotice } from "./quarantine_messages.ts";
import type { CrashedEndpoint, LostAttempt } from "./crash_detector.ts";
import { type CrashSubject, isPart } from "./subject.ts";

/**
 * Number of requests in one log entry. Those with the shortest time to the crash come first, because requests
 * that crash endpoints do so quickly.
 */
const MAX_LOGGED_REQUESTS = 8;

/** Number of prompt parts in one log entry. */
const MAX_LOGGED_PARTS = 16;

/** What is known of the requests at a crash. */
export interface CrashLogContext {
  /** Returns the number of earlier crashes at which a request or a part was present and after which none was answered. */
  readonly crashCountOf: (subject: CrashSubject) => number;
  /** Returns when a prompt with a part was last answered. */
  readonly lastAnswerOf: (part: PartDigest) => Instant | undefined;
}

/** Returns the fields of the log entry about a crash. */
export function crashLogFields(
  { record, attempts, at }: CrashedEndpoint,
  { crashCountOf, lastAnswerOf }: CrashLogContext,
): Record<string, unknown> {
  const quickest = [...attempts]
    .sort((left, right) => durationOf(left) - durationOf(right))
    .slice(0, MAX_LOGGED_REQUESTS);
  return {
    endpoint: record.id,
    life: record.life,
    service: record.service,
    endpointZone: record.zone,
    softwareVersion: record.softwareVersion,
    requests: attempts.length,
    quickest: quickest.map((attempt) => ({
      digest: attempt.fingerprint.content,
      caller: attempt.fingerprint.caller,
      path: attempt.path,
      ms: Math.round(durationOf(attempt)),
      ends: crashCountOf(attempt.fingerprint.content) + 1,
    })),
    parts: partLogFields({ attempts, at }, { crashCountOf, lastAnswerOf }),
  };
}

/** Fields about one prompt part. */
interface PartLogFields {
  readonly part: PartDigest;
  readonly requests: number;
  readonly ends: number;
  readonly answeredMsBefore?: number;
}

/** Lists the prompt parts of the lost requests, first those that were never answered or longest ago. */
function partLogFields(
  { attempts, at }: Pick<CrashedEndpoint, "attempts" | "at">,
  { crashCountOf, lastAnswerOf }: CrashLogContext,
): PartLogFields[] {
  const requests = new Map<PartDigest, number>();
  for (
    const part of attempts.flatMap(({ fingerprint }) => fingerprint.parts ?? [])
  ) {
    requests.set(part, (requests.get(part) ?? 0) + 1);
  }
  return [...requests].map(([part, count]) => {
    const answeredAt = lastAnswerOf(part);
    return {
      part,
      requests: count,
      ends: crashCountOf(part) + 1,
      ...(answeredAt === undefined
        ? {}
        : { answeredMsBefore: Math.round(at - answeredAt) }),
    };
  }).sort((left, right) =>
    (right.answeredMsBefore ?? Infinity) -
      (left.answeredMsBefore ?? Infinity) || 0
  ).slice(0, MAX_LOGGED_PARTS);
}

/** Names what a log entry is about: a whole request, or a part of prompts or several that came together. */
export function subjectLogFields(
  subject: CrashSubject,
): { digest: CrashSubject; kind: "request" | "part" } {
  return { digest: subject, kind: isPart(subject) ? "part" : "request" };
}

/** Returns the log entry about a hold that started, was extended or ended. */
export function holdLogEntry(
  { subject, caller, service, versions, term, remaining, released }: HoldNotice,
): { text: string; fields: Record<string, unknown> } {
  return {
    text: released
      ? "Request is no longer held back."
      : "Request is held back.",
    fields: {
      ...subjectLogFields(subject),
      caller,
      service,
      versions,
      term,
      remainingMs: Math.round(remaining),
    },
  };
}

function durationOf({ sentAt, lostAt }: LostAttempt): number {
  return lostAt - sentAt;
}
