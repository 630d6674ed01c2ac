/**
 * Who tries a held request again.
 *
 * @module
 */
import {
  type ContentDigest,
  type EndpointId,
  type Incarnation,
  rendezvous,
  type ServiceId,
  type ZoneId,
} from "../ids/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { MayTry } from "./hold_list.ts";

/** What the choice depends on. */
export interface TrialSources {
  readonly self: { readonly incarnation: Incarnation };
  /** Published endpoints of all regions. */
  readonly endpoints: () => ReadonlyMap<EndpointId, EndpointRecord>;
  /** Entries that carry the requests of the regions of some zones. */
  readonly carriers: (zones: ReadonlySet<ZoneId>) => readonly Incarnation[];
}

/**
 * One entry tries a held request, so that trials do not add up over the fleet as its repeats did: one of
 * those that carry requests where there are endpoints to try it on.
 */
export function trialOwner(
  { self, endpoints, carriers }: TrialSources,
  { content, services }: {
    content: ContentDigest;
    services: readonly ServiceId[];
  },
): MayTry {
  return (tested) => {
    const zones = new Set(
      [...endpoints().values()].filter((record) =>
        record.state === "ready" && services.includes(record.service) &&
        !tested.has(record.softwareVersion)
      ).map(({ zone }) => zone),
    );
    if (zones.size === 0) {
      return false;
    }
    const [first] = rendezvous(content, carriers(zones), (entry) => entry);
    return first === self.incarnation;
  };
}
