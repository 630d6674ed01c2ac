/**
 * What endpoints may get by what they state of themselves.
 *
 * @module
 */
import { mostWithin } from "../client/most_within.ts";
import type { FakeBackend } from "./fake_backend.ts";

/** An endpoint bears its limit times this, and the slack, in any such window. */
const LIMIT_WINDOW_MS = 4_000;
const LIMIT_OVERSHOOT = 1.5;
const LIMIT_SLACK = 5;
const LIMIT_SETTLE_MS = 2_000;
/** What was on its way when an answer was given may still arrive for so long. */
const CROSSING_MS = 500;
const MOST_IN_REST = 2;

/** What an endpoint got against its word. */
export function checkTerms(backend: FakeBackend, now: number): string[] {
  return [
    ...checkLimits(backend, now),
    ...checkLeaving(backend),
    ...checkRests(backend),
  ];
}

/** An entry that an endpoint asked for rest sends it next to nothing until its end. */
function checkRests(
  { name, arrivals, senders, rests }: FakeBackend,
): string[] {
  const most = rests.reduce((found, { entry, from, to }) => {
    const disturbing = arrivals.filter((at, index) =>
      senders[index] === entry && at > from + CROSSING_MS && at < to
    );
    return Math.max(found, disturbing.length);
  }, 0);
  return most <= MOST_IN_REST
    ? []
    : [`Endpoint ${name} got ${most} requests of one entry in its rest`];
}

/** An entry that was told by an endpoint that it leaves sends it nothing more. */
function checkLeaving(
  { name, arrivals, senders, toldLeaving }: FakeBackend,
): string[] {
  const late =
    arrivals.filter((at, index) =>
      at > (toldLeaving.get(senders[index]!) ?? Infinity) + CROSSING_MS
    ).length;
  return late === 0 ? [] : [
    `Endpoint ${name} got ${late} requests from entries told that it leaves`,
  ];
}

/** A limit that an endpoint stated holds for all entries together, once they had the time to learn of it. */
function checkLimits(
  { name, arrivals, limits }: FakeBackend,
  now: number,
): string[] {
  return limits.flatMap(({ at, perSecond }, index) => {
    if (perSecond === undefined) {
      return [];
    }
    const end = limits[index + 1]?.at ?? now;
    const kept = arrivals.filter((arrival) =>
      arrival >= at + LIMIT_SETTLE_MS && arrival < end
    );
    const most = mostWithin(kept, LIMIT_WINDOW_MS);
    const allowed = LIMIT_OVERSHOOT * perSecond * LIMIT_WINDOW_MS / 1_000 +
      LIMIT_SLACK;
    return most <= allowed
      ? []
      : [`Endpoint ${name} got ${most} within its limit of ${perSecond}`];
  });
}
