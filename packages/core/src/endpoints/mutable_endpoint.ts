/**
 * Mutable state of one endpoint.
 *
 * @module
 */
import type { Endpoint, Writable } from "../blackboard/index.ts";
import type { Instant } from "../ids/index.ts";
import type { ListedVm } from "../messages/index.ts";

/** An endpoint with writable fields, for its controller. */
export type MutableEndpoint = Writable<Endpoint> & {
  inFlight: Map<string, Instant>;
  cachedBlocks: Map<number, Instant>;
};

/** Whether an endpoint serves a model. Before its first load report, it is assumed to. */
export function servesModel(endpoint: Endpoint, model: string): boolean {
  return endpoint.load === undefined || endpoint.load.model === model;
}

/** Creates an endpoint, suspect until its first load report, since a listed VM may not be running. */
export function newEndpoint(vm: ListedVm): MutableEndpoint {
  return {
    vm,
    state: "suspect",
    leaving: undefined,
    load: undefined,
    loadAt: undefined,
    lastPolledAt: undefined,
    suspectUntil: undefined,
    restUntil: undefined,
    inFlight: new Map(),
    cachedBlocks: new Map(),
  };
}
