export {
  type Departure,
  type DepartureMessage,
  EndpointDepartures,
} from "./endpoint_departures.ts";
export {
  EndpointLimits,
  type EndpointLimitSources,
  type Permit,
} from "./endpoint_limits.ts";
export { EndpointBackoffs } from "./endpoint_backoffs.ts";
export type { EndpointTerms } from "./endpoint_terms.ts";
export type { LimitMessage, LimitNotice } from "./limit_messages.ts";
export type {
  AnswerSummary,
  EndpointLog,
  StatedValue,
} from "./stated_value.ts";
