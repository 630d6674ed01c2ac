/**
 * Placement of requests: sends each to an endpoint or a peer, or queues it until there is capacity.
 *
 * @module
 */
import type { FairShares } from "../fair_shares/index.ts";
import { type Instant, type Milliseconds, milliseconds } from "../ids/index.ts";
import type { Call } from "./call.ts";
import type { CallAttempts } from "./call_attempts.ts";
import type { CallOutcomes } from "./call_outcomes.ts";
import { CallQueue } from "./call_queue.ts";
import {
  type CallRouter,
  MAX_ATTEMPTS,
  type RoutingDecision,
} from "./call_router.ts";
import type { QueueAhead } from "./local_placement.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import { isShortPrompt } from "./endpoint_placement.ts";
import { spareRoom } from "./spare_room.ts";
import { DEFAULT_PREFILL_TOKENS_PER_MS } from "./prompt_cost.ts";
import type { QuarantineController } from "../quarantine/index.ts";
import type { RegionCallAdmission } from "./region_call_admission.ts";
import type { RegionController } from "./region_controller.ts";
import { waitLimit } from "./wait_limit.ts";

/** A request with less time left than this is not sent any more. */
export const MIN_SEND_TIME_MS = 30;
/** Longest back-off of endpoints that a request waits for. If it is longer, the request is refused at once. */
const MAX_REST_WAIT_MS = 300;

const NO_VERSIONS: ReadonlySet<string> = new Set();

/** Dependencies of `CallPlacer`. */
export interface PlacerDependencies {
  readonly attempts: CallAttempts;
  readonly outcomes: CallOutcomes;
  readonly router: CallRouter;
  readonly endpoints: EndpointRegistry;
  readonly regions: RegionController;
  readonly shares: FairShares;
  readonly quarantine: QuarantineController;
  /** Number of entries in the region that carry requests, including this one. */
  readonly regionEntries: () => number;
  /** Decisions by the state of the whole region. */
  readonly regionAdmission: RegionCallAdmission;
}

/** Places each request, or queues it. */
export class CallPlacer {
  readonly queue: CallQueue;
  readonly #deps: PlacerDependencies;

  constructor(deps: PlacerDependencies) {
    this.#deps = deps;
    this.queue = new CallQueue(deps.shares);
  }

  /** Sends a request now, queues it, or refuses it. */
  place(call: Call, now: Instant): void {
    if (call.attempts >= MAX_ATTEMPTS || call.endsAt - now < MIN_SEND_TIME_MS) {
      return this.#deps.outcomes.fail(call, "no_endpoint", now);
    }
    if (this.#checkQuarantine(call, now) !== "free") {
      return;
    }
    const ahead = this.#queueAhead(call, now);
    const decision = this.#nextFor(call, ahead, now);
    if (call.attempts === 0 && decision.kind !== "peer") {
      this.#deps.regionAdmission.noteArrival(call, now);
    }
    if (this.#mustYield(call, decision, now)) {
      this.#yieldTurn(call, now);
    } else if (decision.kind === "wait") {
      this.#enqueue(call, { decision, ahead, now });
    } else {
      this.#dispatch(call, decision, now);
    }
  }

  /** Places as many queued requests as there is capacity for. */
  drain(now: Instant): void {
    if (this.queue.size === 0) {
      return;
    }
    // If one request has to wait, those of the same kind behind it have to wait too. Checking each of them
    // would cost more the longer the queue is, and slow the entry down when it has most to do.
    const blocked = new Set<string>();
    const { prefillFraction } = this.#deps.regions;
    const { regionAdmission } = this.#deps;
    for (const call of this.queue.ordered(prefillFraction, now)) {
      if (this.#checkQuarantine(call, now) !== "free") {
        continue;
      }
      const { rank, services, head } = call;
      const version = call.origin?.version ?? "";
      const kind = `${services[0]} ${rank} ${
        isShortPrompt(head.prompt)
      } ${version}`;
      const sender = `${kind} ${call.customer?.id ?? ""}`;
      if (
        blocked.has(kind) || blocked.has(sender) ||
        regionAdmission.leavesPlace(call, now)
      ) {
        continue;
      }
      const ahead = { wait: now - call.arrivedAt, turns: 0 };
      const decision = this.#deps.router.next(call, ahead, now);
      if (this.#mustYield(call, decision, now)) {
        blocked.add(sender);
        continue;
      }
      if (decision.kind === "wait") {
        this.#deps.shares.noteBusy(services[0]!);
      }
      if (decision.kind === "wait" && !isRestTooLong(decision)) {
        blocked.add(kind);
      } else if (decision.kind === "wait") {
        this.#takeOut(call, now);
        this.#refuseResting(call, { wait: decision.wait, now });
      } else {
        this.#takeOut(call, now);
        this.#dispatch(call, decision, now);
      }
    }
  }

  /** Refuses waiting requests for which the region will have no place in time. */
  refuseHopeless(now: Instant): void {
    const { regionAdmission, regions, outcomes } = this.#deps;
    if (this.queue.size === 0 || !regionAdmission.isReviewDue(now)) {
      return;
    }
    const ordered = this.queue.ordered(regions.prefillFraction, now);
    for (const call of regionAdmission.review(ordered, now)) {
      this.queue.remove(call);
      outcomes.fail(call, "overloaded", now);
    }
  }

  /** Whether a connected request may be written. It may have been held back since it was placed. */
  maySend(call: Call, now: Instant): boolean {
    const { kind } = this.#deps.quarantine.check(quarantineSubject(call), now);
    if (kind === "held" || kind === "wait") {
      this.#deps.attempts.close(call, "unsent", now);
      this.#checkQuarantine(call, now);
      return false;
    }
    return true;
  }

  /** Whether a request has waited so long that it is refused early, while its caller still has time to retry. */
  waitedTooLong(call: Call, now: Instant): boolean {
    const timeLimit = call.endsAt - call.arrivedAt;
    const mayRefuse = call.offered === 0 || call.awaitsTrial;
    const limit = this.#deps.regionAdmission.longestWait(call, now) ??
      waitLimit(timeLimit);
    return call.phase === "waiting" && mayRefuse &&
      now - call.arrivedAt > limit;
  }

  /**
   * Checks the quarantine. A request that is held back is refused with a late retry time: it would crash the
   * next endpoint too, and all requests that run there would be lost. If another copy of it is on trial, or another
   * request with the same suspect part, it waits for the outcome.
   */
  #checkQuarantine(call: Call, now: Instant): "free" | "over" | "waits" {
    const verdict = this.#deps.quarantine.check(quarantineSubject(call), now);
    switch (verdict.kind) {
      case "held":
        call.held = verdict.subjects;
        this.#deps.outcomes.fail(call, "held", now, verdict.wait);
        return "over";
      case "wait":
        return this.#awaitTrial(call, now);
      default:
        call.awaitsTrial = false;
        call.isTrial = verdict.kind === "limited" && verdict.trial;
        call.avoidedVersions = verdict.kind === "limited"
          ? verdict.except
          : NO_VERSIONS;
        return "free";
    }
  }

  #awaitTrial(call: Call, now: Instant): "over" | "waits" {
    if (call.phase === "answering") {
      this.#deps.outcomes.fail(call, "endpoint_failed", now);
      return "over";
    }
    call.phase = "waiting";
    call.awaitsTrial = true;
    this.queue.add(call);
    return "waits";
  }

  #dispatch(
    call: Call,
    decision: Exclude<RoutingDecision, { kind: "wait" }>,
    now: Instant,
  ): void {
    switch (decision.kind) {
      case "endpoint":
        return this.#deps.attempts.sendToEndpoint(
          call,
          decision.placement,
          now,
        );
      case "peer":
        return this.#deps.attempts.relayToPeer(call, decision, now);
      case "none":
        return this.#deps.outcomes.fail(call, "no_endpoint", now);
    }
  }

  /** Queues a request, or refuses it at once if the expected wait is too long. */
  #enqueue(
    call: Call,
    { decision, ahead, now }: {
      decision: Extract<RoutingDecision, { kind: "wait" }>;
      ahead: QueueAhead;
      now: Instant;
    },
  ): void {
    const { wait, reason } = decision;
    if (isRestTooLong(decision)) {
      return this.#refuseResting(call, { wait, now });
    }
    const limited = reason === "limited";
    const expectedWait = limited
      ? Math.max(wait, ahead.wait)
      : wait + ahead.wait;
    const mayRefuse = call.offered === 0 || limited;
    const refused = mayRefuse &&
      (limited ? undefined : this.#deps.regionAdmission.refuses(call, now));
    if (
      refused ??
        (mayRefuse && expectedWait > waitLimit(call.endsAt - now))
    ) {
      const cause = limited ? "endpoints_limited" : "overloaded";
      return this.#deps.outcomes.fail(
        call,
        cause,
        now,
        milliseconds(expectedWait),
      );
    }
    if (call.phase === "trying") {
      call.phase = "waiting";
    }
    this.queue.add(call);
    this.#deps.regionAdmission.noteQueued(call, 1, now);
  }

  /** Removes a request from the queue, which it leaves for a place or a refusal. */
  #takeOut(call: Call, now: Instant): void {
    this.queue.remove(call);
    this.#deps.regionAdmission.noteQueued(call, -1, now);
  }

  /** Returns where a request goes next. One that is late leaves its place to those that wait elsewhere and aren't. */
  #nextFor(call: Call, ahead: QueueAhead, now: Instant): RoutingDecision {
    const decision = this.#deps.router.next(call, ahead, now);
    return decision.kind === "endpoint" &&
        this.#deps.regionAdmission.leavesPlace(call, now)
      ? { kind: "wait", wait: milliseconds(1), reason: "busy" }
      : decision;
  }

  #refuseResting(
    call: Call,
    { wait, now }: { wait: Milliseconds; now: Instant },
  ): void {
    this.#deps.outcomes.fail(call, "endpoints_resting", now, wait);
  }

  #queueAhead(call: Call, now: Instant): QueueAhead {
    const { services, rank } = call;
    // Entries of the region take turns, and each is assumed to have as much waiting as this one.
    const turns = (1 + this.queue.callsAhead(services[0]!, rank)) *
      this.#deps.regionEntries();
    const wait = this.#deps.regionAdmission.expectedWait(call, now) ??
      this.#expectedWait(call, now);
    return { wait, turns };
  }

  /** Queues a request behind those of its customer, or refuses it at once if its turn comes too late. */
  #yieldTurn(call: Call, now: Instant): void {
    const { services, rank, customer } = call;
    const position = { service: services[0]!, rank, late: false };
    const wait = milliseconds(
      this.#deps.shares.delayOf(position, customer?.id, now),
    );
    this.#enqueue(call, {
      decision: { kind: "wait", wait, reason: "busy" },
      ahead: { wait: 0, turns: 0 },
      now,
    });
  }

  /** Whether a request that could be sent has to leave the endpoint to other customers for a moment. */
  #mustYield(call: Call, { kind }: RoutingDecision, now: Instant): boolean {
    const { shares, endpoints } = this.#deps;
    const [service] = call.services;
    if (kind !== "endpoint" || call.attempts > 0) {
      return false;
    }
    return shares.mustYield(
      {
        service: service!,
        rank: call.rank,
        late: false,
        customer: call.customer?.id,
      },
      () =>
        spareRoom(
          endpoints.ofService(service!).filter((state) =>
            endpoints.accepts(state, now)
          ),
        ),
      now,
    );
  }

  /** Expected milliseconds until the prompts of queued requests that go first have been read. */
  #expectedWait({ rank, services, customer }: Call, now: Instant): number {
    const tokens = this.queue.tokensAhead(rank);
    if (tokens === 0) {
      return 0;
    }
    let engines = 0;
    for (const { service } of this.#deps.endpoints.all()) {
      engines += service?.engine === undefined ? 0 : 1;
    }
    // Callers choose among the region's entries at random, so that each has about as much waiting.
    const position = { service: services[0]!, rank, late: false };
    const waiting = tokens * this.#deps.regionEntries() *
      this.#deps.shares.partAheadOf(position, customer?.id, now);
    return waiting * this.#deps.regions.prefillFraction /
      (DEFAULT_PREFILL_TOKENS_PER_MS * Math.max(1, engines));
  }
}

/** Whether endpoints back off for so long that the request should wait at its caller instead of here. */
function isRestTooLong(
  { wait, reason }: Extract<RoutingDecision, { kind: "wait" }>,
): boolean {
  return reason === "resting" && wait > MAX_REST_WAIT_MS;
}

function quarantineSubject(
  call: Call,
): Parameters<QuarantineController["check"]>[0] {
  const { head: { id, fingerprint, relay }, services } = call;
  return {
    id,
    relayedBy: relay?.from,
    fingerprint,
    services,
    mayServe: (region) => call.mayServe(region),
  };
}
