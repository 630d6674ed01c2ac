export {
  DELEGATES_PER_ZONE,
  delegatesByZone,
  type HeartbeatPlan,
  planHeartbeat,
} from "./heartbeat_plan.ts";
export {
  createMembershipSection,
  LEAVING_UPDATE_DURATION_MS,
  MembershipController,
  type MembershipSection,
} from "./membership_controller.ts";
