export * from "./gateway_settings.ts";
export type { Address } from "./ini_sections.ts";
export {
  parseSettings,
  type Settings,
  type SettingsResult,
} from "./settings.ts";
