/**
 * Selects the entry that tries a held request again.
 *
 * @module
 */
import {
  type EndpointId,
  type Incarnation,
  type RegionId,
  rendezvous,
  type ServiceId,
  type ZoneId,
} from "../ids/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { TrialPermission } from "./hold_list.ts";

/** The state that the selection depends on. */
export interface TrialDependencies {
  readonly self: { readonly incarnation: Incarnation };
  /** Returns the published endpoints of all regions. */
  readonly endpoints: () => ReadonlyMap<EndpointId, EndpointRecord>;
  /** Returns the entries that serve those regions of the given zones in which a request may run. */
  readonly servingEntries: (
    zones: ReadonlySet<ZoneId>,
    mayServe: RegionPredicate,
  ) => readonly Incarnation[];
}

/** Whether a request may run in a region. */
export type RegionPredicate = (region: RegionId) => boolean;

/**
 * Lets a single entry try a held request, so that the fleet does not run one trial per entry. It is one of
 * the entries that serve a region with endpoints to try the request on: relayed by another, it would be refused there.
 */
export function createTrialPermission(
  { self, endpoints, servingEntries }: TrialDependencies,
  { services, mayServe }: {
    services: readonly ServiceId[];
    mayServe: RegionPredicate;
  },
): TrialPermission {
  return (subject, excludedVersions) => {
    const zones = new Set(
      [...endpoints().values()].filter((record) =>
        record.state === "ready" && services.includes(record.service) &&
        !excludedVersions.has(record.softwareVersion)
      ).map(({ zone }) => zone),
    );
    if (zones.size === 0) {
      return false;
    }
    const [owner] = rendezvous(
      subject,
      servingEntries(zones, mayServe),
      (entry) => entry,
    );
    return owner === self.incarnation;
  };
}
