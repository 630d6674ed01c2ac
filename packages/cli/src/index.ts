/**
 * The commands of the command line, for programs that embed them.
 *
 * @module
 */
export * from "./commands/index.ts";
export * from "./output/index.ts";
