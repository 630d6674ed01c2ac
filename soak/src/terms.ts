/**
 * Engines that state limits, leave or want rest, and what they may get of all entries then.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { mostWithin, type RawEngine } from "@sassafrasstep/playground/bytes";
import type { Draw } from "./draw.ts";

/** What an engine states from a moment of its wave on. */
export type EngineTerms =
  & { readonly engine: number; readonly atMs: number }
  & (
    | { readonly kind: "limit"; readonly perSecond: number }
    | { readonly kind: "leaving" }
    /** For so long it turns requests away, each with so many seconds of rest. */
    | { readonly kind: "rest"; readonly forMs: number; readonly restS: number }
  );

const WINDOW_MS = 4_000;
const OVERSHOOT = 1.5;
const SLACK = 5;
/** Until all entries that are not held up know of a limit, or that an engine leaves. */
const SETTLE_MS = 2_000;
/** An entry that is paused or starts anew may send once more before it reads what it was told. */
const MOST_LATE = 4;
/** Entries of a region. */
const ENTRIES = 2;
/** Requests of one entry that cross an engine's first refusal, and those that test it. */
const MOST_REFUSED = 3;

/** Terms of at most half of the engines of each region. */
export function planTerms(
  draw: Draw,
  regions: readonly string[],
): EngineTerms[] {
  const taken = new Map<string, number>();
  return regions.flatMap((region, engine): EngineTerms[] => {
    const most = regions.filter((each) => each === region).length / 2;
    const before = taken.get(region) ?? 0;
    if (before + 1 > most || draw.chance(0.3)) {
      return [];
    }
    taken.set(region, before + 1);
    return [planOne(draw, { engine, atMs: draw.between(500, 2_000) })];
  });
}

function planOne(
  draw: Draw,
  base: { engine: number; atMs: number },
): EngineTerms {
  switch (draw.pick(["limit", "limit", "leaving", "rest"])) {
    case "limit":
      return { ...base, kind: "limit", perSecond: draw.between(2, 30) / 10 };
    case "leaving":
      return { ...base, kind: "leaving" };
    default:
      return {
        ...base,
        kind: "rest",
        forMs: draw.between(500, 4_000),
        restS: draw.between(5, 30) / 10,
      };
  }
}

/** Has an engine state its terms when the time comes. */
export async function stateTerms(
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

/** What an engine got against its terms, `undefined` where they were kept. */
export function brokenTerms(
  { arrivals, refusals, statedAt }: RawEngine,
  terms: EngineTerms,
): string | undefined {
  if (statedAt === undefined) {
    return undefined;
  }
  const later = arrivals.filter((at) => at >= statedAt + SETTLE_MS);
  switch (terms.kind) {
    case "limit": {
      const most = mostWithin(later, WINDOW_MS);
      const allowed = OVERSHOOT * terms.perSecond * WINDOW_MS / 1_000 + SLACK;
      return most <= allowed
        ? undefined
        : `${most} requests in 4 s at a limit of ${terms.perSecond} a second`;
    }
    case "leaving":
      return later.length <= MOST_LATE
        ? undefined
        : `${later.length} requests to an engine that leaves`;
    case "rest": {
      const rounds = 1 + Math.ceil(terms.forMs / (terms.restS * 1_000));
      return refusals <= ENTRIES * rounds * MOST_REFUSED
        ? undefined
        : `${refusals} requests to an engine that wants rest`;
    }
  }
}
