export * from "./lifecycle_controller.ts";
