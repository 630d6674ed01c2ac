/**
 * One endpoint as its controller writes it.
 *
 * @module
 */
import type { Endpoint, Writable } from "../blackboard/index.ts";
import type { Instant } from "../ids/index.ts";
import type { ListedVm } from "../messages/index.ts";

/** An endpoint with its fields open for the one writer. */
export type MutableEndpoint = Writable<Endpoint> & {
  inFlight: Map<string, Instant>;
  cachedBlocks: Map<number, Instant>;
};

/** Whether it serves a model, as far as it has said. */
export function servesModel(endpoint: Endpoint, model: string): boolean {
  return endpoint.load === undefined || endpoint.load.model === model;
}

/** Gets work once it has reported its load: a list may name a VM that is not there. */
export function newEndpoint(vm: ListedVm): MutableEndpoint {
  return {
    vm,
    state: "suspect",
    leaving: undefined,
    load: undefined,
    loadAt: undefined,
    lastPolledAt: undefined,
    suspectUntil: undefined,
    restsUntil: undefined,
    inFlight: new Map(),
    cachedBlocks: new Map(),
  };
}
