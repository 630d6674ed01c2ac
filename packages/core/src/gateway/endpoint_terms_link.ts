/**
 * What the terms of endpoints see of the entry: who issues permits, whom to tell.
 *
 * @module
 */
import {
  EndpointDepartures,
  EndpointLimits,
  EndpointRests,
  type EndpointTerms,
  type TermsLog,
} from "../endpoint_terms/index.ts";
import type { FleetController, FleetMessage } from "../fleet/index.ts";
import {
  type EndpointId,
  type Incarnation,
  type Instant,
  rendezvous,
} from "../ids/index.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { GatewayEmit, GatewaySelf } from "./messages.ts";
import { carriersOf } from "./serving_set.ts";

/** What the link is made of. */
export interface EndpointTermsLink {
  readonly self: GatewaySelf;
  readonly emit: GatewayEmit;
  readonly fleet: FleetController;
  readonly catalogue: CatalogueView;
}

/** Makes the terms of endpoints that an entry knows. */
export function createEndpointTerms(
  link: EndpointTermsLink,
  now: Instant,
): EndpointTerms {
  const log: TermsLog = (text, fields) =>
    link.emit({ kind: "log", part: "endpoint", text, fields });
  return {
    limits: createLimits(link, log, now),
    departures: createDepartures(link, log),
    rests: new EndpointRests({ log }),
  };
}

function createLimits(
  link: EndpointTermsLink,
  log: TermsLog,
  now: Instant,
): EndpointLimits {
  const { self, fleet, catalogue } = link;
  return new EndpointLimits({
    incarnation: self.incarnation,
    issuerOf: (endpoint) => coordinatorOf(endpoint, link),
    peers: () => peersOf(link),
    heardPart: () => fleet.heardPartWithSelf(self.region),
    isPublished: (endpoint) => catalogue.endpoints.has(endpoint),
    send: (to, message) => sendTo(link, to, { kind: "limits", message }),
    log,
  }, now);
}

function createDepartures(
  link: EndpointTermsLink,
  log: TermsLog,
): EndpointDepartures {
  const { self, catalogue } = link;
  return new EndpointDepartures({
    incarnation: self.incarnation,
    announcerOf: (endpoint) => coordinatorOf(endpoint, link),
    peers: () => peersOf(link),
    isPublished: (endpoint) => catalogue.endpoints.has(endpoint),
    send: (to, message) => sendTo(link, to, { kind: "departures", message }),
    log,
  });
}

/** Other live entries of the region. */
function peersOf({ self, fleet }: EndpointTermsLink): Incarnation[] {
  return fleet.live().filter(({ record }) => record.region === self.region)
    .map(({ record }) => record.incarnation);
}

function sendTo(
  { fleet }: EndpointTermsLink,
  to: Incarnation,
  message: Extract<FleetMessage, { kind: "limits" | "departures" }>,
): void {
  const address = fleet.addressOf(to);
  if (address !== undefined) {
    fleet.mail.sendBare(address, message);
  }
}

/** The entry that coordinates the terms of an endpoint, the same in all views that agree on who may be alive and stays. */
function coordinatorOf(
  endpoint: EndpointId,
  { self, fleet }: EndpointTermsLink,
): Incarnation {
  const staying = carriersOf(self.region, fleet).filter(({ state }) =>
    state === "ready" || state === "outdated"
  );
  const [coordinator] = rendezvous(
    `terms ${endpoint}`,
    staying,
    ({ id }) => id,
  );
  return (coordinator ?? fleet.record).incarnation;
}
