/**
 * Log entries for operators about crashes and held requests.
 *
 * @module
 */
import type { ContentDigest, Instant, PartDigest } from "../ids/index.ts";
import type { HoldNotice } from "./quarantine_messages.ts";
import type { CrashedEndpoint, LostAttempt } from "./crash_detector.ts";

/**
 * Number of requests in one log entry. Those with the shortest time to the crash come first, because requests
 * that crash endpoints do so quickly.
 */
const MAX_LOGGED_REQUESTS = 8;

/** Number of prompt parts in one log entry. */
const MAX_LOGGED_PARTS = 16;

/** What is known of the requests at a crash. */
export interface CrashLogContext {
  /** Returns the number of earlier crashes at which a request was present. */
  readonly crashCountOf: (content: ContentDigest) => number;
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
    parts: partLogFields({ attempts, at }, lastAnswerOf),
  };
}

/** Lists the prompt parts of the lost requests, first those that were never answered or longest ago. */
function partLogFields(
  { attempts, at }: Pick<CrashedEndpoint, "attempts" | "at">,
  lastAnswerOf: CrashLogContext["lastAnswerOf"],
): { part: PartDigest; requests: number; answeredMsBefore?: number }[] {
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
      ...(answeredAt === undefined
        ? {}
        : { answeredMsBefore: Math.round(at - answeredAt) }),
    };
  }).sort((left, right) =>
    (right.answeredMsBefore ?? Infinity) -
      (left.answeredMsBefore ?? Infinity) || 0
  ).slice(0, MAX_LOGGED_PARTS);
}

/** Returns the log entry about a hold that started, was extended or ended. */
export function holdLogEntry(
  { content, caller, service, versions, term, remaining, released }: HoldNotice,
): { text: string; fields: Record<string, unknown> } {
  return {
    text: released
      ? "Request is no longer held back."
      : "Request is held back.",
    fields: {
      digest: content,
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
