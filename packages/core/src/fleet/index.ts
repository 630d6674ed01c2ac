export type { CensusReport } from "./entry_census.ts";
export {
  FleetController,
  type MembershipDerivation,
  SUSPICION_TIMEOUT_MS,
} from "./fleet_controller.ts";
export * from "./fleet_messages.ts";
export type { FleetIdentity, FleetOptions } from "./fleet_options.ts";
export type { FleetMember } from "./membership_list.ts";
export type { CatalogueHolder, DocumentHolder } from "./peer_holdings.ts";
export { DIRECT_PROBE_TIMEOUT_MS, PROBE_TIMEOUT_MS } from "./probe_schedule.ts";
export { SUMMARY_LIFETIME_MS } from "./region_summaries.ts";
