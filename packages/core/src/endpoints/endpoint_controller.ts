/**
 * Endpoint VMs: their existence, load and availability for new requests.
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
import { LoadPollScheduler } from "./load_poll_scheduler.ts";
import {
  type MutableEndpoint,
  newEndpoint,
  servesModel,
} from "./mutable_endpoint.ts";
import { subsetOf } from "./subset.ts";

/** Mean time between reads of the VM list. */
export const VM_LIST_PERIOD_MS = 1_500;
/** How long a failed endpoint gets no requests before it is tried again. */
export const SUSPECT_MS = 2_000;
/** How long departed VMs are remembered, so that an outdated VM list does not add them again. */
export const DEPARTED_LIFETIME_MS = 3_600_000;
/** Longest time for which an endpoint gets no requests because of its `Retry-After`. */
const MAX_REST_MS = 60_000;
/** How long a prefix block is assumed to stay in an endpoint's cache. */
const CACHED_BLOCK_LIFETIME_MS = 120_000;
const MAX_CACHED_BLOCKS = 4_096;

/** Tracks the endpoints. Implements the `endpoints` section of the blackboard. */
export class EndpointController implements EndpointsView {
  readonly endpoints = new Map<EndpointId, MutableEndpoint>();
  readonly departed = new Map<EndpointId, Instant>();
  listedAt: Instant | undefined;
  readonly #board: Blackboard;
  readonly #emit: Emit;
  readonly #random: Randomness;
  readonly #onLeaving: (endpoint: EndpointId, now: Instant) => void;
  #nextListReadAt: Instant;
  #isReadingList = false;
  readonly #pollScheduler: LoadPollScheduler;
  /** Incremented whenever an endpoint is added, removed or changes its model. */
  #version = 0;
  readonly #serviceCache = new Map<
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
    this.#nextListReadAt = now;
    this.#pollScheduler = new LoadPollScheduler(now);
  }

  /** Requests the VM list and load reports that are due, and ends suspicions and back-offs that are over. */
  tick(now: Instant): void {
    if (!this.#isReadingList && now >= this.#nextListReadAt) {
      this.#isReadingList = true;
      this.#emit({ kind: "listVms" });
    }
    for (const endpoint of this.endpoints.values()) {
      this.#endSuspicion(endpoint, now);
      endRest(endpoint, now);
    }
    this.#pollLoads(now);
    this.#forgetDeparted(now);
  }

  /** Applies the VM list. Only endpoints of this region are used: those of others are reached through their entries. */
  applyVmList(vms: readonly ListedVm[], now: Instant): void {
    this.#scheduleListRead(now);
    if (vms.length === 0 && this.endpoints.size > 0) {
      // An empty list is treated as a fault of the platform: applying it would stop the whole region.
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
        this.#addOrUpdate(vm, now);
      }
    }
    for (const endpoint of [...this.endpoints.values()]) {
      if (!seen.has(endpoint.vm.id)) {
        this.#handleMissing(endpoint, now);
      }
    }
  }

  /** Keeps the known endpoints because the VM list could not be read or has not changed. */
  keepVmList(now: Instant): void {
    this.#scheduleListRead(now);
  }

  /** Applies a load report. */
  applyLoadReport(id: EndpointId, report: LoadReport, now: Instant): void {
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
      this.markLeaving(id, "endpoint", now);
    } else if (endpoint.state === "suspect") {
      this.#restore(endpoint);
    }
  }

  /** Marks an endpoint that did not answer as suspect: it gets no new requests for a while. */
  markSuspect(id: EndpointId, now: Instant): void {
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

  /** Records for how long an endpoint wants no requests, as it stated when it refused one. */
  recordRest(id: EndpointId, time: Milliseconds, now: Instant): void {
    const endpoint = this.endpoints.get(id);
    if (endpoint !== undefined) {
      const until = after(now, Math.min(time, MAX_REST_MS));
      endpoint.restUntil = instant(Math.max(until, endpoint.restUntil ?? 0));
      this.#emit({
        kind: "log",
        part: "endpoint",
        text: "Endpoint wants rest.",
        fields: { endpoint: id, restMs: Math.round(time) },
      });
    }
  }

  /**
   * Marks an endpoint as leaving, permanently.
   *
   * The VM list is delayed, and another source may still report the VM as live. If the latest report counted, the
   * endpoint would get requests that break off when it ends, and answers would be lost at every scale-down. The
   * first report of any source that the endpoint is leaving therefore holds for the VM's lifetime.
   */
  markLeaving(id: EndpointId, source: LeavingSource, now: Instant): void {
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

  /** Records an attempt at an endpoint, whose prefix blocks are assumed to be cached from then on. */
  attemptStarted(
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
      endpoint.cachedBlocks.set(block, after(now, CACHED_BLOCK_LIFETIME_MS));
    }
    while (endpoint.cachedBlocks.size > MAX_CACHED_BLOCKS) {
      endpoint.cachedBlocks.delete(endpoint.cachedBlocks.keys().next().value!);
    }
  }

  /** Records the end of an attempt. */
  attemptEnded(id: EndpointId, attempt: string): void {
    this.endpoints.get(id)?.inFlight.delete(attempt);
  }

  forService(service: ServiceId): readonly Endpoint[] {
    const key = `${this.#version} ${this.#board.configuration.revision}`;
    const cached = this.#serviceCache.get(service);
    if (cached?.key === key) {
      return cached.endpoints;
    }
    const endpoints = this.#findFor(service);
    this.#serviceCache.set(service, { key, endpoints });
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

  #addOrUpdate(vm: ListedVm, now: Instant): void {
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
      this.#handleReturn(known);
    }
    if (vm.state === "leaving") {
      this.markLeaving(vm.id, "vm_list", now);
    }
  }

  /**
   * Handles an endpoint that is missing from the VM list: it gets no more requests. If it was leaving, it is never
   * added again. Otherwise a later list may contain it again, and it gets requests once it has reported its load.
   */
  #handleMissing(endpoint: MutableEndpoint, now: Instant): void {
    endpoint.state = "draining";
    if (endpoint.leaving !== undefined) {
      this.departed.set(endpoint.vm.id, now);
    }
    // Attempts in flight are not aborted, and the endpoint is kept until they have ended.
    if (endpoint.inFlight.size === 0) {
      this.endpoints.delete(endpoint.vm.id);
      this.#version++;
    }
  }

  #handleReturn(endpoint: MutableEndpoint): void {
    if (endpoint.state === "draining" && endpoint.leaving === undefined) {
      endpoint.state = "suspect";
    }
  }

  #scheduleListRead(now: Instant): void {
    this.#isReadingList = false;
    this.#nextListReadAt = after(
      now,
      VM_LIST_PERIOD_MS * (0.75 + this.#random.next() / 2),
    );
  }

  #pollLoads(now: Instant): void {
    for (
      const endpoint of this.#pollScheduler.choose(this.endpoints.values(), {
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

  /** Restores a suspect endpoint whose time is over. One that has never reported its load has no such time. */
  #endSuspicion(endpoint: MutableEndpoint, now: Instant): void {
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
      if (now - since <= DEPARTED_LIFETIME_MS) {
        return;
      }
      this.departed.delete(id);
    }
  }
}

function endRest(endpoint: MutableEndpoint, now: Instant): void {
  if (endpoint.restUntil !== undefined && now >= endpoint.restUntil) {
    endpoint.restUntil = undefined;
  }
}
