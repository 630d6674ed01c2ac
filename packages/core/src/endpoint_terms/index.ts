export { EndpointLimits } from "./endpoint_limits.ts";
export type { Stated, StatingAnswer } from "./stated.ts";
