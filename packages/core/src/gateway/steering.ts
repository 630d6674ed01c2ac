/**
 * Decides which share of a region's callers is sent to other regions, so that no region is overloaded
 * while others idle.
 *
 * @module
 */
import type { RegionShare } from "../fleet/index.ts";
import type { RegionId } from "../ids/index.ts";

/** Below this utilization a region keeps all of its callers, because other regions are farther away. */
export const MIN_STEERING_UTILIZATION = 0.35;
/** Iterations of the demand estimate, which converges within a few. */
const DEMAND_ITERATIONS = 12;
/**
 * Weight of the newest shares. Demand is solved for with the shares in force, so that little damping is
 * enough to prevent oscillation. With 0.5 a recovered region kept sending its callers away for seconds.
 */
const SHARE_SMOOTHING_WEIGHT = 0.9;
/** Smaller shares are not worth the new connections of the callers. */
const MIN_SHARE = 0.02;

/** Capacity and load of one region, in endpoint milliseconds per second. */
export interface RegionLoad {
  readonly region: RegionId;
  readonly capacity: number;
  /** Work that arrived in the region, from its own callers and from those sent there. */
  readonly arrivals: number;
  /** Where the region's own callers are sent at present. */
  readonly shares: readonly RegionShare[];
}

/**
 * Estimates the work that the callers of each region demand, wherever they were sent.
 *
 * What arrives in a region depends on where all regions send their callers, and acting on arrivals alone
 * oscillates: a region that sends half of its callers away looks idle and calls them back. So the demand
 * is solved for: a region's arrivals are the sum of all regions' demand times the share that each sends
 * there.
 */
export function estimateDemand(
  regions: readonly RegionLoad[],
): Map<RegionId, number> {
  const demand = new Map(
    regions.map(({ region, arrivals }) => [region, arrivals]),
  );
  for (let round = 0; round < DEMAND_ITERATIONS; round++) {
    for (const { region, arrivals, shares } of regions) {
      const steeredHere = regions.reduce(
        (sum, other) =>
          other.region === region
            ? sum
            : sum + demand.get(other.region)! * shareOf(other.shares, region),
        0,
      );
      const keptShare = Math.max(0.1, 1 - total(shares));
      demand.set(region, Math.max(0, arrivals - steeredHere) / keptShare);
    }
  }
  return demand;
}

/** The shares of a region's callers that should be sent to each other region. */
export function chooseShares(
  own: RegionId,
  regions: readonly RegionLoad[],
): RegionShare[] {
  const demand = estimateDemand(regions);
  const capacity = regions.reduce((sum, region) => sum + region.capacity, 0);
  const totalDemand = [...demand.values()].reduce((sum, work) => sum + work, 0);
  if (capacity === 0) {
    return [];
  }
  const targetUtilization = Math.max(
    MIN_STEERING_UTILIZATION,
    totalDemand / capacity,
  );
  const self = regions.find(({ region }) => region === own);
  const ownDemand = demand.get(own) ?? 0;
  const excess = ownDemand - targetUtilization * (self?.capacity ?? 0);
  const cannotServe = (self?.capacity ?? 0) === 0;
  if (excess <= 0 && !cannotServe) {
    return [];
  }
  const awayShare = cannotServe ? 1 : excess / ownDemand;
  const spare = regions.filter(({ region }) => region !== own).map((
    { region, capacity },
  ) => ({
    region,
    spareCapacity: Math.max(
      0,
      targetUtilization * capacity - demand.get(region)!,
    ),
  }));
  const totalSpare = spare.reduce((sum, item) => sum + item.spareCapacity, 0);
  return totalSpare === 0 ? [] : spare
    .map((item) => ({
      region: item.region,
      share: awayShare * item.spareCapacity / totalSpare,
    }));
}

/** Moves from the current shares towards the wanted ones, and drops shares that are too small. */
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
      const target = shareOf(wanted, region);
      return {
        region,
        share: before + SHARE_SMOOTHING_WEIGHT * (target - before),
      };
    })
    .filter(({ share }) => share >= MIN_SHARE);
}

/** The share sent to a region, 0 if there is none. */
export function shareOf(
  shares: readonly RegionShare[],
  region: RegionId,
): number {
  return shares.find((item) => item.region === region)?.share ?? 0;
}

function total(shares: readonly RegionShare[]): number {
  return shares.reduce((sum, { share }) => sum + share, 0);
}
