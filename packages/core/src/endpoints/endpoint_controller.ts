/**
 * Endpoint VMs: which exist, how loaded they are, and which get no new work.
 *
 * @module
 */
import type {
  Blackboard,
  Endpoint,
  EndpointsView,
  LeavingSource,
} from "../blackboard/index.ts";
import {
  after,
  type EndpointId,
  type Instant,
  instant,
  type Milliseconds,
  type Randomness,
  type ServiceId,
} from "../ids/index.ts";
import type { Emit, ListedVm, LoadReport } from "../messages/index.ts";
import { LoadPolls } from "./load_polls.ts";
import {
  type MutableEndpoint,
  newEndpoint,
  servesModel,
} from "./mutable_endpoint.ts";
import { subsetOf } from "./subset.ts";

/** Between reads of the VM list. */
export const VM_LIST_PERIOD_MS = 1_500;
/** How long a failed endpoint gets no work before it is tried again. */
export const SUSPECT_MS = 2_000;
/** How long a departed VM is remembered against a stale list. */
export const DEPARTED_MEMORY_MS = 3_600_000;
/** No endpoint is left alone for longer on its word. */
const MOST_REST_MS = 60_000;
/** How long a block is believed to stay in a cache. */
const CACHE_BELIEF_MS = 120_000;
const MAX_CACHED_BLOCKS = 4_096;

/** Writes the `endpoints` section, and is its view. */
export class EndpointController implements EndpointsView {
  readonly endpoints = new Map<EndpointId, MutableEndpoint>();
  readonly departed = new Map<EndpointId, Instant>();
  listedAt: Instant | undefined;
  readonly #board: Blackboard;
  readonly #emit: Emit;
  readonly #random: Randomness;
  readonly #onLeaving: (endpoint: EndpointId, now: Instant) => void;
  #nextListAt: Instant;
  #listing = false;
  readonly #polls: LoadPolls;
  /** Grows whenever an endpoint comes, goes or changes its model. */
  #version = 0;
  readonly #ofCache = new Map<
    ServiceId,
    { readonly key: string; readonly endpoints: readonly Endpoint[] }
  >();

  constructor(
    board: Blackboard,
    { emit, random, now, onLeaving }: {
      emit: Emit;
      random: Randomness;
      now: Instant;
      onLeaving: (endpoint: EndpointId, now: Instant) => void;
    },
  ) {
    this.#board = board;
    this.#emit = emit;
    this.#random = random;
    this.#onLeaving = onLeaving;
    this.#nextListAt = now;
    this.#polls = new LoadPolls(now);
  }

  /** Reads the list and polls loads that are due. */
  tick(now: Instant): void {
    if (!this.#listing && now >= this.#nextListAt) {
      this.#listing = true;
      this.#emit({ kind: "listVms" });
    }
    for (const endpoint of this.endpoints.values()) {
      this.#clearSuspicion(endpoint, now);
      endRest(endpoint, now);
    }
    this.#pollLoads(now);
    this.#forgetDeparted(now);
  }

  /** Takes the VM list. Only endpoints of the own region matter; others are reached through entries. */
  listed(vms: readonly ListedVm[], now: Instant): void {
    this.#listEnded(now);
    if (vms.length === 0 && this.endpoints.size > 0) {
      // An empty list is the platform's failure: believing it would stop a whole region at once.
      this.#emit({
        kind: "log",
        part: "endpoint",
        text: "Ignored an empty VM list.",
        fields: {},
      });
      return;
    }
    this.listedAt = now;
    const seen = new Set<EndpointId>();
    for (const vm of vms) {
      if (vm.role === "endpoint" && vm.region === this.#board.self.region) {
        seen.add(vm.id);
        this.#take(vm, now);
      }
    }
    for (const endpoint of [...this.endpoints.values()]) {
      if (!seen.has(endpoint.vm.id)) {
        this.#noteAbsence(endpoint, now);
      }
    }
  }

  /** The list did not answer, or has not changed: what is known stays in use. */
  listKept(now: Instant): void {
    this.#listEnded(now);
  }

  /** Takes a load report. */
  reported(id: EndpointId, report: LoadReport, now: Instant): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) {
      return;
    }
    if (endpoint.load?.model !== report.model) {
      this.#version++;
    }
    endpoint.load = report;
    endpoint.loadAt = after(now, -report.age);
    endpoint.lastPolledAt = now;
    if (report.cacheGap) {
      endpoint.cachedBlocks.clear();
    }
    report.evicted.forEach((block) => endpoint.cachedBlocks.delete(block));
    if (report.draining) {
      this.leave(id, "endpoint", now);
    } else if (endpoint.state === "suspect") {
      this.#restore(endpoint);
    }
  }

  /** An endpoint did not answer: no new work for a while. */
  failed(id: EndpointId, now: Instant): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined || endpoint.state === "draining") {
      return;
    }
    if (endpoint.state === "live") {
      this.#emit({
        kind: "log",
        part: "endpoint",
        text: "Endpoint is suspect.",
        fields: { endpoint: id },
      });
    }
    endpoint.state = "suspect";
    endpoint.suspectUntil = after(now, SUSPECT_MS);
  }

  /** An endpoint turned a request away and said for how long it wants none. */
  rests(id: EndpointId, time: Milliseconds, now: Instant): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint !== undefined) {
      const until = after(now, Math.min(time, MOST_REST_MS));
      endpoint.restsUntil = instant(Math.max(until, endpoint.restsUntil ?? 0));
      this.#emit({
        kind: "log",
        part: "endpoint",
        text: "Endpoint wants rest.",
        fields: { endpoint: id, restMs: Math.round(time) },
      });
    }
  }

  /**
   * Marks an endpoint as leaving, for good.
   *
   * The list lags and a second source may still call the VM live. Believing the later word would send
   * it work that it cuts off when it ends; one would notice by lost answers after every scale-down.
   * The first sign from any source holds for the VM's whole life.
   */
  leave(id: EndpointId, source: LeavingSource, now: Instant): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) {
      this.departed.set(id, now);
      return;
    }
    if (endpoint.leaving !== undefined) {
      return;
    }
    endpoint.leaving = source;
    endpoint.state = "draining";
    this.#emit({
      kind: "log",
      part: "endpoint",
      text: "Endpoint is leaving.",
      fields: { endpoint: id, source },
    });
    this.#onLeaving(id, now);
  }

  /** Notes an attempt that goes to an endpoint. */
  started(
    id: EndpointId,
    { attempt, blocks, now }: {
      attempt: string;
      blocks: readonly number[];
      now: Instant;
    },
  ): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) {
      return;
    }
    endpoint.inFlight.set(attempt, now);
    for (const block of blocks) {
      endpoint.cachedBlocks.delete(block);
      endpoint.cachedBlocks.set(block, after(now, CACHE_BELIEF_MS));
    }
    while (endpoint.cachedBlocks.size > MAX_CACHED_BLOCKS) {
      endpoint.cachedBlocks.delete(endpoint.cachedBlocks.keys().next().value!);
    }
  }

  /** Notes that an attempt ended. */
  ended(id: EndpointId, attempt: string): void {
    this.endpoints.get(id)?.inFlight.delete(attempt);
  }

  of(service: ServiceId): readonly Endpoint[] {
    const key = `${this.#version} ${this.#board.configuration.revision}`;
    const cached = this.#ofCache.get(service);
    if (cached?.key === key) {
      return cached.endpoints;
    }
    const endpoints = this.#findFor(service);
    this.#ofCache.set(service, { key, endpoints });
    return endpoints;
  }

  #findFor(service: ServiceId): readonly Endpoint[] {
    const found = this.#board.configuration.deployment?.services.get(service);
    if (found === undefined) {
      return [];
    }
    const pool = found.kind === "model" ? found.pool : found.id;
    const serving = [...this.endpoints.values()].filter((endpoint) =>
      endpoint.vm.pool === pool &&
      (found.kind === "plain" || servesModel(endpoint, found.model))
    );
    return subsetOf(this.#board.self, serving);
  }

  #take(vm: ListedVm, now: Instant): void {
    if (this.departed.has(vm.id)) {
      return;
    }
    const known = this.endpoints.get(vm.id);
    if (known === undefined) {
      this.endpoints.set(vm.id, newEndpoint(vm));
      this.#version++;
      this.#emit({
        kind: "log",
        part: "endpoint",
        text: "Endpoint appeared.",
        fields: { endpoint: vm.id },
      });
    } else {
      known.vm = vm;
      this.#noteReturn(known);
    }
    if (vm.state === "leaving") {
      this.leave(vm.id, "vm_list", now);
    }
  }

  /**
   * A listed VM is missing: it gets no more work. If it was leaving, no list brings it back; if it
   * only vanished, a later list may, and then it gets work once it has reported its load.
   */
  #noteAbsence(endpoint: MutableEndpoint, now: Instant): void {
    endpoint.state = "draining";
    if (endpoint.leaving !== undefined) {
      this.departed.set(endpoint.vm.id, now);
    }
    // Attempts in flight still end by themselves; the entry is kept until they have.
    if (endpoint.inFlight.size === 0) {
      this.endpoints.delete(endpoint.vm.id);
      this.#version++;
    }
  }

  #noteReturn(endpoint: MutableEndpoint): void {
    if (endpoint.state === "draining" && endpoint.leaving === undefined) {
      endpoint.state = "suspect";
    }
  }

  #listEnded(now: Instant): void {
    this.#listing = false;
    this.#nextListAt = after(
      now,
      VM_LIST_PERIOD_MS * (0.75 + this.#random.next() / 2),
    );
  }

  #pollLoads(now: Instant): void {
    for (
      const endpoint of this.#polls.choose(this.endpoints.values(), {
        count: this.endpoints.size,
        now,
      })
    ) {
      endpoint.lastPolledAt = now;
      this.#emit({
        kind: "pollLoad",
        endpoint: endpoint.vm.id,
        url: endpoint.vm.url,
      });
    }
  }

  /** A failed endpoint is tried again after a while; one that never reported waits for its report. */
  #clearSuspicion(endpoint: MutableEndpoint, now: Instant): void {
    const { state, suspectUntil } = endpoint;
    if (
      state === "suspect" && suspectUntil !== undefined && now >= suspectUntil
    ) {
      this.#restore(endpoint);
    }
  }

  #restore(endpoint: MutableEndpoint): void {
    endpoint.state = "live";
    endpoint.suspectUntil = undefined;
  }

  #forgetDeparted(now: Instant): void {
    for (const [id, since] of this.departed) {
      if (now - since <= DEPARTED_MEMORY_MS) {
        return;
      }
      this.departed.delete(id);
    }
  }
}

function endRest(endpoint: MutableEndpoint, now: Instant): void {
  if (endpoint.restsUntil !== undefined && now >= endpoint.restsUntil) {
    endpoint.restsUntil = undefined;
  }
}
