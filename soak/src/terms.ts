/**
 * Terms that engines state (rate limits, departures and rest periods), and checks that all entries together
 * comply with them.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { mostWithin, type RawEngine } from "@sassafrasstep/playground/bytes";
import type { Draw } from "./draw.ts";

/** What an engine states about itself from `atMs` on, counted from the start of the wave. */
export type EngineTerms =
  & { readonly engine: number; readonly atMs: number }
  & (
    | { readonly kind: "limit"; readonly perSecond: number }
    | { readonly kind: "leaving" }
    /** Rejects requests for `forMs`; each rejection asks for `restS` seconds without requests. */
    | {
      readonly kind: "rest";
      readonly forMs: number;
      readonly restS: number;
    }
  );

const RATE_WINDOW_MS = 4_000;
const LIMIT_OVERSHOOT_FACTOR = 1.5;
const LIMIT_SLACK_REQUESTS = 5;
/** Time until every entry that is not paused or restarting knows of a limit or a departure. */
const PROPAGATION_MS = 2_000;
/** An entry that is paused or restarts may send one more request before it has read the announcement. */
const MAX_LATE_REQUESTS = 4;
const ENTRIES_PER_REGION = 2;
/** Refused per entry and rest: requests already sent before the first refusal arrives, and probes. */
const MAX_REFUSALS_PER_ENTRY = 3;

/** Plans terms for at most half of the engines of each region. */
export function planTerms(
  draw: Draw,
  regions: readonly string[],
): EngineTerms[] {
  const termsPerRegion = new Map<string, number>();
  return regions.flatMap((region, engine): EngineTerms[] => {
    const maxCount = regions.filter((each) => each === region).length / 2;
    const count = termsPerRegion.get(region) ?? 0;
    if (count + 1 > maxCount || draw.chance(0.3)) {
      return [];
    }
    termsPerRegion.set(region, count + 1);
    return [planEngineTerms(draw, { engine, atMs: draw.integer(500, 2_000) })];
  });
}

function planEngineTerms(
  draw: Draw,
  base: { engine: number; atMs: number },
): EngineTerms {
  switch (draw.pick(["limit", "limit", "leaving", "rest"])) {
    case "limit":
      return { ...base, kind: "limit", perSecond: draw.integer(2, 30) / 10 };
    case "leaving":
      return { ...base, kind: "leaving" };
    default:
      return {
        ...base,
        kind: "rest",
        forMs: draw.integer(500, 4_000),
        restS: draw.integer(5, 30) / 10,
      };
  }
}

/** Makes an engine state its terms at the planned time. */
export async function applyTerms(
  engine: RawEngine,
  terms: EngineTerms,
): Promise<void> {
  await pause(terms.atMs);
  engine.state(
    terms.kind === "limit"
      ? { limit: terms.perSecond }
      : terms.kind === "leaving"
      ? { leaving: true }
      : { restS: terms.restS, forMs: terms.forMs },
  );
}

/** Describes how the requests that an engine received violate its terms, `undefined` if they comply. */
export function findTermsViolation(
  { arrivals, refusals, statedAt }: RawEngine,
  terms: EngineTerms,
): string | undefined {
  if (statedAt === undefined) {
    return undefined;
  }
  const settledArrivals = arrivals.filter((at) =>
    at >= statedAt + PROPAGATION_MS
  );
  switch (terms.kind) {
    case "limit": {
      const peakCount = mostWithin(settledArrivals, RATE_WINDOW_MS);
      const allowed =
        LIMIT_OVERSHOOT_FACTOR * terms.perSecond * RATE_WINDOW_MS / 1_000 +
        LIMIT_SLACK_REQUESTS;
      return peakCount <= allowed
        ? undefined
        : `${peakCount} requests in 4 s at a limit of ${terms.perSecond} a second`;
    }
    case "leaving":
      return settledArrivals.length <= MAX_LATE_REQUESTS
        ? undefined
        : `${settledArrivals.length} requests to an engine that leaves`;
    case "rest": {
      const maxRests = 1 + Math.ceil(terms.forMs / (terms.restS * 1_000));
      return refusals <= ENTRIES_PER_REGION * maxRests * MAX_REFUSALS_PER_ENTRY
        ? undefined
        : `${refusals} requests to an engine that wants rest`;
    }
  }
}
