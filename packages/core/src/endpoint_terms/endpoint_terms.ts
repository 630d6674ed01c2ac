/**
 * All that endpoints state about themselves in their answers.
 *
 * @module
 */
import type { EndpointDepartures } from "./endpoint_departures.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { EndpointRests } from "./endpoint_rests.ts";

/** What is known of it, by kind. */
export interface EndpointTerms {
  readonly limits: EndpointLimits;
  readonly departures: EndpointDepartures;
  readonly rests: EndpointRests;
}
