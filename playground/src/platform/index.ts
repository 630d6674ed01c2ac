export { sendKeyedRequests } from "./keyed_requests.ts";
export { callPlatform, type PlatformAnswer } from "./platform_caller.ts";
export {
  eventually,
  type PlatformEntry,
  PlatformFleet,
  route,
  ROUTES,
  THREE_ENDPOINTS_PER_SERVICE,
} from "./platform_fleet.ts";
export { type EndpointFault, StandInEndpoint } from "./stand_in_endpoint.ts";
export { type LoadResult, SteadyLoad } from "./steady_load.ts";
export {
  StandInStore,
  type StoreCopy,
  type StoreFault,
} from "./stand_in_store.ts";
