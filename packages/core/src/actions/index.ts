export * from "./action_controller.ts";
export { KEPT_EPOCHS } from "./owner_rights.ts";
export * from "./owner_token.ts";
export {
  type KeyStatus,
  MAX_KEPT_ANSWER_BYTES,
  MAX_USED_KEYS,
} from "./used_action.ts";
