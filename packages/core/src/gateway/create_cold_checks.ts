/**
 * Connects the health checks of endpoints to the fleet.
 *
 * @module
 */
import type { FleetController } from "../fleet/index.ts";
import type { EndpointId, Incarnation, Instant } from "../ids/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import { coldOwner } from "./cold_allowance.ts";
import { ColdChecks } from "./cold_checks.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { GatewayEmit, GatewayIdentity } from "./messages.ts";
import { minimumServingIncarnations } from "./serving_set.ts";

/** Creates the health checks of one entry. */
export function createColdChecks(
  { self, fleet, catalogue, endpoints, emit }: {
    self: GatewayIdentity;
    fleet: FleetController;
    catalogue: CatalogueView;
    endpoints: EndpointRegistry;
    emit: GatewayEmit;
  },
  now: Instant,
): ColdChecks {
  const { region, incarnation } = self;
  const owners = new Map<EndpointId, Incarnation | undefined>();
  let candidates: readonly Incarnation[] = [];
  return new ColdChecks({
    catalogue,
    endpoints,
    emit,
    isResponsible: (endpoint) => {
      const current = fleet.derive(minimumServingIncarnations, region);
      if (current !== candidates) {
        candidates = current;
        owners.clear();
      }
      if (!owners.has(endpoint)) {
        owners.set(endpoint, coldOwner(endpoint, candidates));
      }
      return owners.get(endpoint) === incarnation;
    },
    announce: (reports) => {
      for (const { record } of fleet.liveMembers()) {
        if (record.region === region) {
          const message = { kind: "cold", reports } as const;
          fleet.sender.sendWithoutRecord(record.peerAddress, message);
        }
      }
    },
  }, now);
}
