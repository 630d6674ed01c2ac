import type {
  EngineFigures,
  KnownServiceOutlook,
  RegionId,
  RegionOutlook,
  RelayQuestion,
  ServiceFigures,
  ServiceId,
  ServiceOutlook,
} from "../../index.ts";
import { instant, milliseconds } from "../../index.ts";

export const POOL = "pool" as ServiceId;
export const NORTH = "north" as RegionId;
export const SOUTH = "south" as RegionId;
export const WEST = "west" as RegionId;

/** An engine that prefills 50 tokens in a millisecond and has nothing to do. */
export function engine(figures: Partial<EngineFigures> = {}): EngineFigures {
  return {
    tokensPerMs: 50,
    pendingTokens: 0,
    freePlaces: 30,
    prefillShare: 0,
    restMs: 0,
    ...figures,
  };
}

export function figures(
  engines: readonly EngineFigures[],
  waitingTokens = 0,
): ServiceFigures {
  return { engines, tokensAhead: () => waitingTokens };
}

export function serviceOutlook(
  { delay = 40, spare = 100_000 }: { delay?: number; spare?: number } = {},
): ServiceOutlook {
  return {
    service: POOL,
    startDelays: [delay, delay, delay].map(milliseconds),
    spareTokensPerSecond: spare,
  };
}

export function regionOutlook(
  region: RegionId,
  { age = 0, ...service }: { age?: number; delay?: number; spare?: number } =
    {},
): RegionOutlook {
  return {
    region,
    age: milliseconds(age),
    services: [serviceOutlook(service)],
  };
}

export function knownOutlook(spare: number, weight = 1): KnownServiceOutlook {
  return { ...serviceOutlook({ spare }), estimatedAt: instant(0), weight };
}

/** A request of 5,000 prompt tokens, of which 4,000 are shared and none are cached, that can only wait here. */
export function question(changes: Partial<RelayQuestion> = {}): RelayQuestion {
  return {
    service: POOL,
    rank: 1,
    waited: milliseconds(0),
    objective: milliseconds(1_000),
    patience: milliseconds(2_000),
    localWait: milliseconds(100),
    promptTokens: 5_000,
    uncachedTokens: 5_000,
    sharedTokens: 4_000,
    subject: "subject",
    regions: [SOUTH, WEST],
    entries: 1,
    ...changes,
  };
}
