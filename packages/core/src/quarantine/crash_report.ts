/**
 * Creates an entry's report of a crash.
 *
 * @module
 */
import {
  type ContentDigest,
  type EndpointId,
  type Instant,
  milliseconds,
} from "../ids/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { CrashReport, RequestAtCrash } from "./quarantine_messages.ts";
import type { CrashedEndpoint, LostAttempt } from "./crash_detector.ts";

/** Limit for the requests in one report. It exceeds the number that an entry usually has at one endpoint. */
const MAX_REQUESTS = 128;
/** Number of requests in one datagram, which keeps it below 1,400 bytes. */
const REQUESTS_PER_MESSAGE = 28;

/** The state that a report depends on beside the crash itself. */
export interface ReportContext {
  readonly endpoints: ReadonlyMap<EndpointId, EndpointRecord>;
  /** Whether an endpoint recently answered a request, which therefore does not crash endpoints. */
  readonly wasAnswered: (content: ContentDigest) => boolean;
}

/** Creates the report. If requests must be left out, those with the longest exposure are. */
export function createReport(
  { record, at, attempts }: CrashedEndpoint,
  { endpoints, wasAnswered }: ReportContext,
  now: Instant,
): CrashReport {
  const victims = mergeCopies(
    attempts.filter(({ fingerprint }) => !wasAnswered(fingerprint.content)),
  ).sort((left, right) => left.exposure - right.exposure)
    .slice(0, MAX_REQUESTS);
  return {
    endpoint: record.id,
    life: record.life,
    service: record.service,
    zone: record.zone,
    softwareVersion: record.softwareVersion,
    age: milliseconds(Math.round(now - at)),
    others: countOtherEndpoints(record, endpoints),
    victims,
  };
}

/** Merges all copies of a request, with the longest exposure. */
function mergeCopies(attempts: readonly LostAttempt[]): RequestAtCrash[] {
  const requests = new Map<string, RequestAtCrash>();
  for (const { fingerprint, sentAt, lostAt, trial } of attempts) {
    const { content, caller } = fingerprint;
    const key = `${content} ${caller}`;
    const existing = requests.get(key);
    const exposure = Math.max(existing?.exposure ?? 0, lostAt - sentAt);
    requests.set(key, {
      content,
      caller,
      exposure: milliseconds(Math.round(exposure)),
      trial: trial || existing?.trial === true,
    });
  }
  return [...requests.values()];
}

/** Splits a report into parts that fit into a datagram each. */
export function splitReport(report: CrashReport): CrashReport[] {
  const { victims } = report;
  const count = Math.ceil(victims.length / REQUESTS_PER_MESSAGE);
  return Array.from({ length: count }, (_, index) => {
    const start = index * REQUESTS_PER_MESSAGE;
    return {
      ...report,
      victims: victims.slice(start, start + REQUESTS_PER_MESSAGE),
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
