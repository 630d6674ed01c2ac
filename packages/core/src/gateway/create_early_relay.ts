/**
 * Wires the outlooks of regions and the decision about early relays to the other parts of a gateway.
 *
 * @module
 */
import type { RegionDemand } from "../demand/index.ts";
import type { Features } from "../features/index.ts";
import type { EntryRecord, FleetController } from "../fleet/index.ts";
import {
  type Instant,
  type RegionId,
  rendezvous,
  type ServiceId,
} from "../ids/index.ts";
import {
  EarlyRelay,
  OutlookExchange,
  OwnOutlook,
  type RegionOutlooks,
} from "../outlook/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { GatewayEmit, GatewayIdentity } from "./messages.ts";
import { serviceFigures } from "./service_figures.ts";
import type { ServingSet } from "./serving_set.ts";

/** Entries of a region that exchange outlooks with one other region: one may have ended. */
const PARTNERS = 2;

/** Dependencies of the parts. */
export interface EarlyRelayDependencies {
  readonly self: GatewayIdentity;
  readonly emit: GatewayEmit;
  readonly catalogue: CatalogueView;
  readonly endpoints: EndpointRegistry;
  readonly demand: RegionDemand;
  readonly features: Features;
  readonly fleet: FleetController;
  readonly serving: ServingSet;
  readonly outlooks: RegionOutlooks;
}

/** The parts that decide about early relays. */
export interface EarlyRelayParts {
  readonly own: OwnOutlook;
  readonly relay: EarlyRelay;
  readonly exchange: OutlookExchange;
}

/** Creates the parts. */
export function createEarlyRelay(
  deps: EarlyRelayDependencies,
): EarlyRelayParts {
  const { self, fleet, serving, outlooks, features, endpoints } = deps;
  const isOn = (): boolean => features.isOn("earlyRelay");
  const own = createOwnOutlook(deps);
  const isPartner = (
    record: EntryRecord,
    region: RegionId,
    now: Instant,
  ): boolean =>
    rendezvous(
      `outlook ${region}`,
      serving.of(record.region, now),
      ({ id }) => id,
    ).slice(0, PARTNERS).some(({ incarnation }) =>
      incarnation === record.incarnation
    );
  const exchange = new OutlookExchange({
    own,
    outlooks,
    isWanted: isOn,
    otherRegions: [...new Set(self.regionByZone.values())].filter((region) =>
      region !== self.region
    ),
    isPartnerOf: (region, now) => isPartner(fleet.record, region, now),
    announce: (region, outlook, now) =>
      fleet.sender.sendOutlook(
        outlook,
        (record) =>
          record.region === region && isPartner(record, self.region, now),
      ),
    passOn: (outlook, now) =>
      fleet.sender.sendOutlook(
        outlook,
        (record) =>
          record.region === self.region &&
          (serving.has(record, now) ||
            endpoints.hasReport(record.incarnation)),
      ),
  });
  return { own, exchange, relay: new EarlyRelay({ isOn, own, outlooks }) };
}

function createOwnOutlook(
  { self, emit, catalogue, endpoints, demand }: EarlyRelayDependencies,
): OwnOutlook {
  return new OwnOutlook({
    region: self.region,
    services: () => engineServices(catalogue),
    figuresOf: (service, now) =>
      serviceFigures(service, { endpoints, demand }, now),
    onChange: (service, { isBusy, startDelays, spareTokensPerSecond }) =>
      emit({
        kind: "log",
        part: "region",
        text: isBusy
          ? "Service is busy here, its work may move."
          : "Service is at rest here.",
        fields: {
          service,
          startDelaysMs: startDelays.map((delay) => Math.round(delay)).join(),
          spareTokensPerSecond: Math.round(spareTokensPerSecond),
        },
      }),
  });
}

function engineServices({ document }: CatalogueView): ServiceId[] {
  return [...document?.services.values() ?? []]
    .filter(({ engine }) => engine !== undefined)
    .map(({ id }) => id);
}
