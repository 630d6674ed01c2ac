/**
 * Lines for operators: what was at an endpoint when it ended, and what is held back.
 *
 * @module
 */
import type { ContentDigest } from "../ids/index.ts";
import type { HoldNotice } from "./quarantine_messages.ts";
import type { EndedEndpoint, LostRun } from "./crash_watch.ts";

/** Requests in one line, those first that were there for the shortest time: what crashes endpoints is quick. */
const MOST_REQUESTS = 8;

/** Fields of the line about an endpoint's end. */
export function endFields(
  { record, runs }: Pick<EndedEndpoint, "record" | "runs">,
  endsOf: (content: ContentDigest) => number,
): Record<string, unknown> {
  const quickest = [...runs]
    .sort((left, right) => timeOf(left) - timeOf(right))
    .slice(0, MOST_REQUESTS);
  return {
    endpoint: record.id,
    life: record.life,
    service: record.service,
    endpointZone: record.zone,
    softwareVersion: record.softwareVersion,
    requests: runs.length,
    quickest: quickest.map((run) => ({
      digest: run.fingerprint.content,
      caller: run.fingerprint.caller,
      path: run.path,
      ms: Math.round(timeOf(run)),
      ends: endsOf(run.fingerprint.content) + 1,
    })),
  };
}

/** The line about a hold that began, was prolonged or is over. */
export function holdLine(
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

function timeOf({ sentAt, lostAt }: LostRun): number {
  return lostAt - sentAt;
}
