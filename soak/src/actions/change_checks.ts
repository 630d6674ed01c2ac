/**
 * Checks that acknowledged changes are in force in time at entries that nothing disturbed.
 *
 * @module
 */
import { entryOf, type ObservedAnswer } from "./action_caller.ts";
import type { DocumentFields } from "./change_faults.ts";
import {
  type Arrival,
  indexOfEndpoint,
  type Run,
  type RunLedger,
} from "./run_ledger.ts";
import type { Violation } from "../promises.ts";

const MAX_DRAIN_MS = 4_000;
const MAX_EVACUATION_MS = 5_000;
const MAX_DOCUMENT_MS = 4_000;
/** Time after a route's timeout within which a request has ended. */
const MAX_TIMEOUT_EXCESS_MS = 500;
const OK = 200;
const NOT_FOUND = 404;

/** A span in which an endpoint, or all of a zone, may receive nothing. */
export interface Closure {
  readonly kind: "drain" | "evacuation";
  /** Indexes of the endpoints. */
  readonly endpoints: readonly number[];
  readonly from: number;
  /** When it was taken back, `Infinity` before. */
  to: number;
}

/** A document with the time of its acknowledgement. */
export interface PublishedDocument extends DocumentFields {
  readonly at: number;
}

/** What was changed, and what callers and endpoints saw. */
export interface ObservedChanges {
  readonly answers: readonly ObservedAnswer[];
  readonly ledger: RunLedger;
  readonly closures: readonly Closure[];
  /** In the order of their publication. */
  readonly documents: readonly PublishedDocument[];
  readonly isDisturbed: (entry: string, from: number, to: number) => boolean;
  /** How long the callers' own process was kept from its work in a span of time. */
  readonly delayWithin: (from: number, to: number) => number;
}

/** Finds changes that were in force too late. */
export function findLateChanges(changes: ObservedChanges): Violation[] {
  const takers = new Map(
    changes.answers.map((answer) => [answer.call, answer]),
  );
  return [
    ...changes.ledger.arrivals.flatMap((arrival) =>
      findClosedArrival(arrival, {
        ...changes,
        taker: takers.get(arrival.call),
      })
    ),
    ...changes.answers.flatMap((answer) => findOldDocument(answer, changes)),
  ];
}

function findClosedArrival(
  arrival: Arrival,
  { closures, isDisturbed, taker }:
    & Pick<ObservedChanges, "closures" | "isDisturbed">
    & { taker: ObservedAnswer | undefined },
): Violation[] {
  const { call, endpoint, entry, at } = arrival;
  const index = indexOfEndpoint(arrival);
  const isExcused = isDisturbed(entry, at, at) || taker === undefined ||
    isDisturbed(entryOf(taker), at, at);
  return closures.flatMap(({ kind, endpoints, from, to }) => {
    const maxMs = kind === "drain" ? MAX_DRAIN_MS : MAX_EVACUATION_MS;
    return endpoints.includes(index) && at > from + maxMs && at < to &&
        !isExcused
      ? [{
        call,
        what: `reached ${endpoint} ${
          Math.round(at - from)
        } ms after its ${kind}`,
      }]
      : [];
  });
}

/** Compares a request with the documents that may have been in force while it was open. */
function findOldDocument(
  answer: ObservedAnswer,
  { ledger, documents, isDisturbed, delayWithin }: ObservedChanges,
): Violation[] {
  const { call, plan: { route }, status, askedAt, endedAt } = answer;
  if (isDisturbed(entryOf(answer), askedAt, endedAt)) {
    return [];
  }
  const allowed = documents.filter(({ at }, index) =>
    at <= endedAt &&
    (documents[index + 1]?.at ?? Infinity) > askedAt - MAX_DOCUMENT_MS
  );
  const runs = ledger.of(call).filter(({ entry, startedAt }) =>
    !isDisturbed(entry, startedAt, startedAt)
  );
  const faults = route === "moving"
    ? findOldService(runs, allowed)
    : route === "late"
    ? findOldRoute(runs, { status, allowed })
    : status === NOT_FOUND
    ? ["answered 404"]
    : [];
  const timeoutMs = Math.max(...allowed.map((document) => document.timeoutMs));
  const delayMs = delayWithin(askedAt, endedAt);
  const lastedMs = endedAt - askedAt - delayMs;
  if (lastedMs > timeoutMs + MAX_TIMEOUT_EXCESS_MS && answer.end !== "left") {
    faults.push(
      `lasted ${Math.round(lastedMs)} ms for ${timeoutMs}, besides ${
        Math.round(delayMs)
      } ms of delays`,
    );
  }
  return faults.map((what) => ({ call, what: `${route}: ${what}` }));
}

function findOldService(
  runs: readonly Run[],
  allowed: readonly DocumentFields[],
): string[] {
  return runs.filter(({ service }) =>
    !allowed.some(({ movesTo }) => movesTo === service)
  ).map(({ service }) => `ran at ${service} by an old document`);
}

function findOldRoute(
  runs: readonly Run[],
  { status, allowed }: { status: number; allowed: readonly DocumentFields[] },
): string[] {
  const mayRun = allowed.some(({ hasLate }) => hasLate);
  const mayMiss = allowed.some(({ hasLate }) => !hasLate);
  return [
    ...!mayRun && (runs.length > 0 || status === OK)
      ? ["ran after the route was dropped"]
      : [],
    ...!mayMiss && status === NOT_FOUND
      ? ["answered 404 after the route was added"]
      : [],
  ];
}
