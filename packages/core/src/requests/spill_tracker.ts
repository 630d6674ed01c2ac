/**
 * Spills: requests that this entry forwards to other regions.
 *
 * @module
 */
import type { Blackboard } from "../blackboard/index.ts";
import type { Instant, Milliseconds, RegionId } from "../ids/index.ts";
import {
  chooseSpill,
  remoteCapacities,
  type RemoteCapacity,
} from "../routing/index.ts";
import type { ActiveRequest } from "./active_request.ts";

/** Number of requests over which the spilled share is averaged. */
const SHARE_WINDOW_REQUESTS = 100;

/** Decides which requests are forwarded to other regions, and counts them. */
export class SpillTracker {
  readonly #board: Blackboard;
  readonly #sentTo = new Map<RegionId, number>();
  readonly #regionByRequest = new Map<ActiveRequest, RegionId>();
  #spilledShare = 0;

  constructor(board: Blackboard) {
    this.#board = board;
  }

  /** Whether a request may be forwarded to another region at all. */
  maySpill(request: ActiveRequest): boolean {
    const { customer, head, keyOwner, tried } = request;
    return !customer.bound && !head.forwarded && keyOwner === undefined &&
      !tried.has(SPILLED_MARK);
  }

  /** Returns a region that serves a request sooner than this one, where it would wait for the time `wait`. */
  choose(
    request: ActiveRequest,
    wait: Milliseconds,
    now: Instant,
  ): RemoteCapacity | undefined {
    const { deployment } = this.#board.configuration;
    if (deployment === undefined || !this.maySpill(request)) {
      return undefined;
    }
    const { self, membership } = this.#board;
    return chooseSpill({
      objective: deployment.objective,
      localMs: wait,
      timeLeftMs: request.deadlineAt - now,
      spilledShare: this.#spilledShare,
      spillLimit: deployment.spillLimit,
      remotes: remoteCapacities(membership, {
        service: request.service.id,
        home: self.region,
      }, now),
      inFlightByRegion: this.#sentTo,
      senderCount: this.#countSenders(),
    }, now);
  }

  /** Records a request that is served in this region. */
  recordLocal(): void {
    this.#spilledShare -= this.#spilledShare / SHARE_WINDOW_REQUESTS;
  }

  /** Records a request that is forwarded to another region. */
  recordSpill(request: ActiveRequest, region: RegionId): void {
    this.#spilledShare += (1 - this.#spilledShare) / SHARE_WINDOW_REQUESTS;
    this.#sentTo.set(region, (this.#sentTo.get(region) ?? 0) + 1);
    this.#regionByRequest.set(request, region);
    request.tried.add(SPILLED_MARK);
  }

  /** Records the end of an attempt at a peer. */
  recordSpillEnd(request: ActiveRequest): void {
    const region = this.#regionByRequest.get(request);
    if (region !== undefined) {
      this.#regionByRequest.delete(request);
      this.#sentTo.set(region, this.#sentTo.get(region)! - 1);
    }
  }

  /**
   * Estimates how many entries may use one region's spare capacity, which are all entries of the other regions:
   * each region is assumed to have as many as this one.
   */
  #countSenders(): number {
    let senders = 1;
    for (const { health, record } of this.#board.membership.members.values()) {
      senders += health === "live" && record.region === this.#board.self.region
        ? 1
        : 0;
    }
    const regions = this.#board.configuration.deployment?.regions.size ?? 1;
    return senders * Math.max(1, regions - 1);
  }
}

/** Marks in `tried` that a request has been forwarded to another region, which it is only once. */
const SPILLED_MARK = "another region";
