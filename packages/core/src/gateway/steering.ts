/**
 * To which regions' entries callers are sent, so that no region drowns while others rest.
 *
 * @module
 */
import type { RegionShare } from "../fleet/index.ts";
import type { RegionId } from "../ids/index.ts";

/** Below this part of its capacity a region keeps all of its callers: the way is longer elsewhere. */
export const KEEP_UTILIZATION = 0.35;
/** Rounds of the estimate of demand; it converges within a few. */
const ESTIMATE_ROUNDS = 12;
/**
 * Weight of the newest shares. Demand is solved for with the shares in force, so that little damping
 * keeps them from swinging; with 0.5 a region that was back kept sending its callers away for seconds.
 */
const NEWEST_SHARE_WEIGHT = 0.9;
/** Smaller shares are not worth a caller's new connections. */
const LEAST_SHARE = 0.02;

/** One region's capacity and load, in endpoint milliseconds a second. */
export interface RegionLoad {
  readonly region: RegionId;
  readonly capacity: number;
  /** Work that arrived there, of its own callers and of those sent there. */
  readonly arrivals: number;
  /** Where its own callers are sent at present. */
  readonly shares: readonly RegionShare[];
}

/**
 * Work that the callers of each region ask for, wherever they were sent.
 *
 * What arrives in a region depends on where all regions send their callers. Acting on arrivals alone
 * swings: a region that sends half of its callers away looks idle and calls them back. So the demand is
 * solved for: arrivals = sum over regions of their demand times the share sent there.
 */
export function estimateDemand(
  regions: readonly RegionLoad[],
): Map<RegionId, number> {
  const demand = new Map(
    regions.map(({ region, arrivals }) => [region, arrivals]),
  );
  for (let round = 0; round < ESTIMATE_ROUNDS; round++) {
    for (const { region, arrivals, shares } of regions) {
      const foreign = regions.reduce(
        (sum, other) =>
          other.region === region
            ? sum
            : sum + demand.get(other.region)! * shareOf(other.shares, region),
        0,
      );
      const kept = Math.max(0.1, 1 - total(shares));
      demand.set(region, Math.max(0, arrivals - foreign) / kept);
    }
  }
  return demand;
}

/** Shares of a region's callers that should go to each other region. */
export function chooseShares(
  own: RegionId,
  regions: readonly RegionLoad[],
): RegionShare[] {
  const demand = estimateDemand(regions);
  const capacity = regions.reduce((sum, region) => sum + region.capacity, 0);
  const wanted = [...demand.values()].reduce((sum, work) => sum + work, 0);
  if (capacity === 0) {
    return [];
  }
  const level = Math.max(KEEP_UTILIZATION, wanted / capacity);
  const self = regions.find(({ region }) => region === own);
  const ownDemand = demand.get(own) ?? 0;
  const excess = ownDemand - level * (self?.capacity ?? 0);
  const cannotServe = (self?.capacity ?? 0) === 0;
  if (excess <= 0 && !cannotServe) {
    return [];
  }
  const away = cannotServe ? 1 : excess / ownDemand;
  const spare = regions.filter(({ region }) => region !== own).map((
    { region, capacity },
  ) => ({
    region,
    room: Math.max(0, level * capacity - demand.get(region)!),
  }));
  const room = spare.reduce((sum, item) => sum + item.room, 0);
  return room === 0 ? [] : spare
    .map((item) => ({
      region: item.region,
      share: away * item.room / room,
    }));
}

/** Moves from the shares in force towards the wanted ones. */
export function smoothShares(
  current: readonly RegionShare[],
  wanted: readonly RegionShare[],
): RegionShare[] {
  const regions = new Set(
    [...current, ...wanted].map(({ region }) => region),
  );
  return [...regions]
    .map((region) => {
      const before = shareOf(current, region);
      const goal = shareOf(wanted, region);
      return {
        region,
        share: before + NEWEST_SHARE_WEIGHT * (goal - before),
      };
    })
    .filter(({ share }) => share >= LEAST_SHARE);
}

/** Share sent to a region. */
export function shareOf(
  shares: readonly RegionShare[],
  region: RegionId,
): number {
  return shares.find((item) => item.region === region)?.share ?? 0;
}

function total(shares: readonly RegionShare[]): number {
  return shares.reduce((sum, { share }) => sum + share, 0);
}
