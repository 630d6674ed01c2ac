export {
  DELEGATES_PER_ZONE,
  delegatesByZone,
  type HeartbeatPlan,
  planHeartbeat,
} from "./heartbeat_plan.ts";
export {
  createMembership,
  LEAVING_UPDATE_DURATION_MS,
  MembershipController,
  type MembershipSection,
} from "./membership_controller.ts";
