export * from "./catalogue_position.ts";
export * from "./endpoint_record.ts";
export * from "./route.ts";
export * from "./route_table.ts";
export type {
  CatalogueDelta,
  FreshnessMessage,
  FreshnessRequest,
  FreshnessResponse,
} from "./freshness_messages.ts";
