export {
  EndpointLimits,
  type EndpointLimitSources,
  type Permit,
} from "./endpoint_limits.ts";
export type { LimitMessage, LimitNotice } from "./limit_messages.ts";
export type { Stated, StatingAnswer, TermsLog } from "./stated.ts";
