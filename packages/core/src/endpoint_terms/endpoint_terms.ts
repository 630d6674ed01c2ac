/**
 * Everything that endpoints announce about themselves in the headers of their answers.
 *
 * @module
 */
import type { EndpointDepartures } from "./endpoint_departures.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";
import type { EndpointBackoffs } from "./endpoint_backoffs.ts";

/** What this entry knows of those announcements, by kind. */
export interface EndpointTerms {
  readonly limits: EndpointLimits;
  readonly departures: EndpointDepartures;
  readonly backoffs: EndpointBackoffs;
}
