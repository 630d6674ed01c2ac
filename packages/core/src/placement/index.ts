export * from "./placement.ts";
export * from "./placement_controller.ts";
