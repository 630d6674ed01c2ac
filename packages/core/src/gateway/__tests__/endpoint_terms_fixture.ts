import {
  EndpointBackoffs,
  EndpointDepartures,
  EndpointLimits,
  type EndpointTerms,
  type Incarnation,
  instant,
} from "../../index.ts";

/** Endpoint terms for endpoints that state no limits, departures or back-off periods. */
export function emptyTerms(): EndpointTerms {
  const log = (): void => {};
  return {
    limits: new EndpointLimits({
      incarnation: "a1" as Incarnation,
      issuerOf: () => "a1" as Incarnation,
      peers: () => [],
      reachableFraction: () => 1,
      isPublished: () => true,
      send: () => {},
      log,
    }, instant(0)),
    departures: new EndpointDepartures({
      incarnation: "a1" as Incarnation,
      announcerOf: () => "a1" as Incarnation,
      peers: () => [],
      isPublished: () => true,
      send: () => {},
      log,
    }),
    backoffs: new EndpointBackoffs({ log }),
  };
}
