/**
 * Chooses the region that prefills a prompt's subject, the last part of the prompt that other requests
 * share, for all regions.
 *
 * Callers are spread over regions by identity, so that each region used to prefill the shared part of
 * every subject: a fifth of all shared tokens were prefilled again within seconds of another region's
 * prefill. The symptom is a number of prefilled tokens far above that of new tokens. So a subject that is
 * not cached in the entry's own region is prefilled in one region, which is the same in the views of all
 * entries, with subjects distributed by each region's number of engines. In a simulated moving peak
 * engines prefilled less and found more cached, and more of the total request value was earned; in a
 * simulated evacuation reviews earned more, too.
 *
 * @module
 */
import { type RegionId, weightedRendezvous } from "../ids/index.ts";

/** A region that could prefill a subject. */
export interface RegionCandidate {
  readonly region: RegionId;
  /** Engines that accept new work. */
  readonly engines: number;
  /** Demand as a fraction of the region's capacity. */
  readonly utilization: number;
}

/** Below this utilization a region takes a subject's requests, however busy the requests' own region is. */
const LOW_UTILIZATION = 0.5;
/** How much busier than the requests' own region it may be: a saved prefill is worth some wait. */
const MAX_UTILIZATION_EXCESS = 0.15;

/** The region to relay a request to, `undefined` if it stays in its own region. */
export function chooseSubjectRegion(
  subject: string,
  own: RegionCandidate,
  others: readonly RegionCandidate[],
): RegionId | undefined {
  const [best] = weightedRendezvous(
    `subject ${subject}`,
    [own, ...others].filter(({ engines }) => engines > 0),
    { nameOf: ({ region }) => region, weightOf: ({ engines }) => engines },
  );
  if (best === undefined || best.region === own.region) {
    return undefined;
  }
  const maxUtilization = Math.max(
    LOW_UTILIZATION,
    own.utilization + MAX_UTILIZATION_EXCESS,
  );
  return best.utilization < maxUtilization ? best.region : undefined;
}
