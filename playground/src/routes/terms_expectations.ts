/**
 * Checks that entries respect the limits, departures and backoffs that endpoints state in their answers.
 *
 * @module
 */
import { mostWithin } from "../client/most_within.ts";
import type { FakeBackend } from "./fake_backend.ts";

/** In any window of this length, an endpoint may receive its limit times the overshoot, plus the slack. */
const LIMIT_WINDOW_MS = 4_000;
const LIMIT_OVERSHOOT = 1.5;
const LIMIT_SLACK = 5;
const LIMIT_SETTLE_MS = 2_000;
/** Requests that were in flight when an answer was sent may still arrive for this long. */
const IN_FLIGHT_MS = 500;
const MAX_REQUESTS_IN_BACKOFF = 2;

/** Describes each limit, departure or backoff of an endpoint that was not respected. */
export function checkTerms(backend: FakeBackend, now: number): string[] {
  return [
    ...checkLimits(backend, now),
    ...checkLeaving(backend),
    ...checkBackoffs(backend),
  ];
}

/** An entry sends an endpoint at most `MAX_REQUESTS_IN_BACKOFF` requests during a backoff it was asked for. */
function checkBackoffs(
  { name, arrivals, senders, backoffs }: FakeBackend,
): string[] {
  const largest = backoffs.reduce((found, { entry, from, to }) => {
    const early = arrivals.filter((at, index) =>
      senders[index] === entry && at > from + IN_FLIGHT_MS && at < to
    );
    return Math.max(found, early.length);
  }, 0);
  return largest <= MAX_REQUESTS_IN_BACKOFF ? [] : [
    `Endpoint ${name} got ${largest} requests from one entry during its backoff`,
  ];
}

/** An entry that learned from an endpoint's answer that it is leaving sends it no more requests. */
function checkLeaving(
  { name, arrivals, senders, leavingToldAt }: FakeBackend,
): string[] {
  const late =
    arrivals.filter((at, index) =>
      at > (leavingToldAt.get(senders[index]!) ?? Infinity) + IN_FLIGHT_MS
    ).length;
  return late === 0 ? [] : [
    `Endpoint ${name} got ${late} requests from entries that knew it was leaving`,
  ];
}

/** A stated limit holds for all entries together, once they have had `LIMIT_SETTLE_MS` to learn it. */
function checkLimits(
  { name, arrivals, limits }: FakeBackend,
  now: number,
): string[] {
  return limits.flatMap(({ at, perSecond }, index) => {
    if (perSecond === undefined) {
      return [];
    }
    const end = limits[index + 1]?.at ?? now;
    const settled = arrivals.filter((arrival) =>
      arrival >= at + LIMIT_SETTLE_MS && arrival < end
    );
    const largest = mostWithin(settled, LIMIT_WINDOW_MS);
    const allowed = LIMIT_OVERSHOOT * perSecond * LIMIT_WINDOW_MS / 1_000 +
      LIMIT_SLACK;
    return largest <= allowed ? [] : [
      `Endpoint ${name} got ${largest} requests in a window, despite its limit of ${perSecond} per second`,
    ];
  });
}
