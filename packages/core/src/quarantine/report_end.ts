/**
 * Makes an entry's report of an endpoint's end.
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
import type { CrashReport, CrashVictim } from "./quarantine_messages.ts";
import type { EndedEndpoint, LostRun } from "./crash_watch.ts";

/** Requests of one end that are told: more than an entry has at one endpoint on an ordinary day. */
const MOST_VICTIMS = 128;
/** Requests in one datagram: it stays under 1,400 bytes. */
const VICTIMS_PER_MESSAGE = 28;

/** What a report is made from beside the end itself. */
export interface ReportFacts {
  readonly endpoints: ReadonlyMap<EndpointId, EndpointRecord>;
  /** Whether an endpoint has answered a request lately: it ends none. */
  readonly isServed: (content: ContentDigest) => boolean;
}

/** The report, with those first that were there for the shortest time. */
export function reportOf(
  { record, at, runs }: EndedEndpoint,
  { endpoints, isServed }: ReportFacts,
  now: Instant,
): CrashReport {
  const victims = longestOfEach(
    runs.filter(({ fingerprint }) => !isServed(fingerprint.content)),
  ).sort((left, right) => left.exposure - right.exposure)
    .slice(0, MOST_VICTIMS);
  return {
    endpoint: record.id,
    life: record.life,
    service: record.service,
    zone: record.zone,
    softwareVersion: record.softwareVersion,
    age: milliseconds(Math.round(now - at)),
    others: othersOf(record, endpoints),
    victims,
  };
}

/** One line for all copies of a request. */
function longestOfEach(runs: readonly LostRun[]): CrashVictim[] {
  const victims = new Map<string, CrashVictim>();
  for (const { fingerprint, sentAt, lostAt, trial } of runs) {
    const key = `${fingerprint.content} ${fingerprint.caller}`;
    const known = victims.get(key);
    const exposure = Math.max(known?.exposure ?? 0, lostAt - sentAt);
    victims.set(key, {
      ...fingerprint,
      exposure: milliseconds(Math.round(exposure)),
      trial: trial || known?.trial === true,
    });
  }
  return [...victims.values()];
}

/** The report as datagrams take it. */
export function partsOf(report: CrashReport): CrashReport[] {
  const { victims } = report;
  const count = Math.ceil(victims.length / VICTIMS_PER_MESSAGE);
  return Array.from({ length: count }, (_, index) => {
    const from = index * VICTIMS_PER_MESSAGE;
    return {
      ...report,
      victims: victims.slice(from, from + VICTIMS_PER_MESSAGE),
    };
  });
}

function othersOf(
  { id, service, zone }: EndpointRecord,
  endpoints: ReadonlyMap<EndpointId, EndpointRecord>,
): number {
  return [...endpoints.values()].filter((other) =>
    other.id !== id && other.service === service && other.zone === zone &&
    other.state === "ready"
  ).length;
}
