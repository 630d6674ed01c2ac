/**
 * Connects the endpoint terms (limits, departures and back-off periods that endpoints state in their
 * answers) to this entry's view of the fleet and the catalogue: who coordinates an endpoint's terms, and
 * which peers to tell.
 *
 * @module
 */
import {
  EndpointBackoffs,
  EndpointDepartures,
  EndpointLimits,
  type EndpointLog,
  type EndpointTerms,
} from "../endpoint_terms/index.ts";
import type {
  EntryRecord,
  FleetController,
  FleetMessage,
} from "../fleet/index.ts";
import {
  type EndpointId,
  type Incarnation,
  type Instant,
  type RegionId,
  rendezvous,
} from "../ids/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { GatewayEmit, GatewayIdentity } from "./messages.ts";
import { minimumServingOf } from "./serving_set.ts";

/** The parts of the entry that the endpoint terms depend on. */
export interface EndpointTermsSources {
  readonly self: GatewayIdentity;
  readonly emit: GatewayEmit;
  readonly fleet: FleetController;
  readonly catalogue: CatalogueView;
}

/** Creates the endpoint terms of an entry. */
export function createEndpointTerms(
  sources: EndpointTermsSources,
  now: Instant,
): EndpointTerms {
  const log: EndpointLog = (text, fields) =>
    sources.emit({ kind: "log", part: "endpoint", text, fields });
  return {
    limits: createLimits(sources, log, now),
    departures: createDepartures(sources, log),
    backoffs: new EndpointBackoffs({ log }),
  };
}

function createLimits(
  sources: EndpointTermsSources,
  log: EndpointLog,
  now: Instant,
): EndpointLimits {
  const { self, fleet, catalogue } = sources;
  return new EndpointLimits({
    incarnation: self.incarnation,
    issuerOf: (endpoint) => coordinatorOf(endpoint, sources),
    peers: () => peersOf(sources),
    reachableFraction: () => fleet.liveFractionWithSelf(self.region),
    isPublished: (endpoint) => catalogue.endpoints.has(endpoint),
    send: (to, message) => sendTo(sources, to, { kind: "limits", message }),
    log,
  }, now);
}

function createDepartures(
  sources: EndpointTermsSources,
  log: EndpointLog,
): EndpointDepartures {
  const { self, catalogue } = sources;
  return new EndpointDepartures({
    incarnation: self.incarnation,
    announcerOf: (endpoint) => coordinatorOf(endpoint, sources),
    peers: () => peersOf(sources),
    isPublished: (endpoint) => catalogue.endpoints.has(endpoint),
    send: (to, message) => sendTo(sources, to, { kind: "departures", message }),
    log,
  });
}

/** Other live entries of the region. */
function peersOf(
  { self, fleet }: EndpointTermsSources,
): readonly Incarnation[] {
  return fleet.derive(livePeers, self.region);
}

function livePeers(
  region: RegionId,
  fleet: FleetController,
): readonly Incarnation[] {
  return fleet.liveMembers().filter(({ record }) => record.region === region)
    .map(({ record }) => record.incarnation);
}

function sendTo(
  { fleet }: EndpointTermsSources,
  to: Incarnation,
  message: Extract<FleetMessage, { kind: "limits" | "departures" }>,
): void {
  const address = fleet.peerAddressOf(to);
  if (address !== undefined) {
    fleet.sender.sendWithoutRecord(address, message);
  }
}

/**
 * The entry that coordinates the terms of an endpoint. Entries choose the same one if they agree on which
 * entries may be alive and which of these are neither starting nor stopping.
 */
function coordinatorOf(
  endpoint: EndpointId,
  { self, fleet }: EndpointTermsSources,
): Incarnation {
  const candidates = fleet.derive(possibleCoordinators, self.region);
  const [coordinator] = rendezvous(
    `terms ${endpoint}`,
    candidates,
    ({ id }) => id,
  );
  return (coordinator ?? fleet.record).incarnation;
}

function possibleCoordinators(
  region: RegionId,
  fleet: FleetController,
): readonly EntryRecord[] {
  return minimumServingOf(region, fleet).filter(({ state }) =>
    state === "ready" || state === "outdated"
  );
}
