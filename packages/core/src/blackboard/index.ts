export * from "./blackboard.ts";
