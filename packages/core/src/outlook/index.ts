export * from "./early_relay.ts";
export * from "./outlook_exchange.ts";
export * from "./outlook_messages.ts";
export * from "./own_outlook.ts";
export * from "./region_outlooks.ts";
export * from "./service_estimate.ts";
