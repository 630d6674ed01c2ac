import { EndpointLimits, type Incarnation, instant } from "../../index.ts";

/** Limits of endpoints that state none. */
export function unlimited(): EndpointLimits {
  return new EndpointLimits({
    incarnation: "a1" as Incarnation,
    issuerOf: () => "a1" as Incarnation,
    peers: () => [],
    heardPart: () => 1,
    isPublished: () => true,
    send: () => {},
    log: () => {},
  }, instant(0));
}
