export * from "./outlook_messages.ts";
export * from "./region_outlooks.ts";
