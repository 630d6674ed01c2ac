export {
  type ConfigurationMode,
  ConfigurationService,
} from "./configuration_service.ts";
export { Engine } from "./engine.ts";
export {
  DEFAULT_ENGINE,
  type EngineFaults,
  type EngineOptions,
} from "./engine_options.ts";
export { tokenAt } from "./engine_text.ts";
export {
  type PlainBehaviour,
  type PlainMode,
  PlainService,
} from "./plain_service.ts";
export type { StandIn } from "./stand_in.ts";
export { type PublishedVm, VmList } from "./vm_list.ts";
export { WeightStore } from "./weight_store.ts";
