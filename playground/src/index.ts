/**
 * Stand-ins, fleets of real processes and a client, for tests and measurements.
 *
 * @module
 */
export * from "./client/index.ts";
export * from "./fleet/index.ts";
export * from "./stand_ins/index.ts";
