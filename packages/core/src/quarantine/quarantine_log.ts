/**
 * Log entries for operators about crashes and held requests.
 *
 * @module
 */
import type { ContentDigest } from "../ids/index.ts";
import type { HoldNotice } from "./quarantine_messages.ts";
import type { CrashedEndpoint, LostAttempt } from "./crash_detector.ts";

/**
 * Number of requests in one log entry. Those with the shortest time to the crash come first, because requests
 * that crash endpoints do so quickly.
 */
const MAX_LOGGED_REQUESTS = 8;

/** Returns the fields of the log entry about a crash. */
export function crashLogFields(
  { record, attempts }: Pick<CrashedEndpoint, "record" | "attempts">,
  crashCountOf: (content: ContentDigest) => number,
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
  };
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
