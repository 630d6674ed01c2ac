/**
 * Waiting for a place, and getting one.
 *
 * @module
 */
import {
  type Instant,
  type Milliseconds,
  milliseconds,
  type RequestId,
  type ServiceId,
} from "../ids/index.ts";
import type { Call } from "./call.ts";
import type { CallAttempts } from "./call_attempts.ts";
import type { CallEnds } from "./call_ends.ts";
import { CallQueue } from "./call_queue.ts";
import { type CallRouter, MOST_ATTEMPTS, type Way } from "./call_router.ts";
import type { Ahead } from "./local_places.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import { isShort } from "./placement.ts";
import { DEFAULT_PREFILL_RATE } from "./prompt_cost.ts";
import type {
  QuarantineController,
  RequestFingerprint,
} from "../quarantine/index.ts";
import type { RegionController } from "./region_controller.ts";

/** A request with less time than this is not worth a send. */
export const LEAST_TIME_MS = 30;
/**
 * Part of a request's time that it may wait for a place, and the most of it; beyond it is refused at once,
 * while its caller has time to come back and be served. Without the second bound requests with ten seconds
 * waited four in vain: on a played day of high load 1.7 hundredths of the worth waited and was not served,
 * 0.7 with it.
 */
const WAIT_PART = 0.4;
const MOST_WAIT_MS = 2_500;

/** Requests wait for so much of an endpoint's rest; before, they are refused at once. */
const MOST_REST_WAIT_MS = 300;

const NONE: ReadonlySet<string> = new Set();

/** What the placer works with. */
export interface PlacerTools {
  readonly attempts: CallAttempts;
  readonly ends: CallEnds;
  readonly router: CallRouter;
  readonly endpoints: EndpointRegistry;
  readonly regions: RegionController;
  readonly quarantine: QuarantineController;
  /** Entries of the region that carry requests, this one included. */
  readonly regionEntries: () => number;
}

/** Finds a place for each request, or has it wait. */
export class CallPlacer {
  readonly queue = new CallQueue();
  readonly #tools: PlacerTools;

  constructor(tools: PlacerTools) {
    this.#tools = tools;
  }

  /** Sends a request on its way, now or once there is a place. */
  place(call: Call, now: Instant): void {
    if (call.attempts >= MOST_ATTEMPTS || call.endsAt - now < LEAST_TIME_MS) {
      return this.#tools.ends.fail(call, "no_endpoint", now);
    }
    if (this.#judge(call, now) !== "free") {
      return;
    }
    const ahead = this.#ahead(call);
    const way = this.#tools.router.next(call, ahead, now);
    if (way.kind === "wait") {
      this.#await(call, { way, ahead, now });
    } else {
      this.#take(call, way, now);
    }
  }

  /** Places what waits, as far as there are places. */
  drain(now: Instant): void {
    if (this.queue.size === 0) {
      return;
    }
    // Where one has to wait, those of its kind behind it have to wait too: asking for each would cost
    // more the longer the queue is, and the entry would be late when it has most to do.
    const blocked = new Set<string>();
    const { readPart } = this.#tools.regions;
    for (const call of this.queue.ordered(readPart, now)) {
      if (this.#judge(call, now) !== "free") {
        continue;
      }
      const { rank, services, head } = call;
      const kind = `${services[0]} ${rank} ${isShort(head.prompt)}`;
      if (blocked.has(kind)) {
        continue;
      }
      const ahead = { wait: now - call.arrivedAt, turns: 0 };
      const way = this.#tools.router.next(call, ahead, now);
      if (way.kind === "wait" && !isTooLong(way)) {
        blocked.add(kind);
      } else if (way.kind === "wait") {
        this.queue.remove(call);
        this.#refuseResting(call, { wait: way.wait, now });
      } else {
        this.queue.remove(call);
        this.#take(call, way, now);
      }
    }
  }

  /** Whether a request whose connection stands may be written: it may be held back since it was placed. */
  maySend(call: Call, now: Instant): boolean {
    const { kind } = this.#tools.quarantine.judge(subjectOf(call), now);
    if (kind === "held" || kind === "wait") {
      this.#tools.attempts.close(call, "unsent", now);
      this.#judge(call, now);
      return false;
    }
    return true;
  }

  /** Waiting on would end in a refusal too, only later: the caller learns it while it can still act. */
  waitedTooLong(call: Call, now: Instant): boolean {
    const time = call.endsAt - call.arrivedAt;
    const alone = call.offered === 0 || call.awaitsTrial;
    return call.phase === "waiting" && alone &&
      now - call.arrivedAt > waitLimit(time);
  }

  /**
   * Ends a request that is held back, with word that there is no use in asking again soon; sent on, it
   * would end the next endpoint and lose all that runs there. One that is tried elsewhere just now waits.
   */
  #judge(call: Call, now: Instant): "free" | "over" | "waits" {
    const verdict = this.#tools.quarantine.judge(subjectOf(call), now);
    switch (verdict.kind) {
      case "held":
        this.#tools.ends.fail(call, "held", now, verdict.wait);
        return "over";
      case "wait":
        return this.#awaitTrial(call, now);
      default:
        call.awaitsTrial = false;
        call.avoidedVersions = verdict.kind === "limited"
          ? verdict.except
          : NONE;
        return "free";
    }
  }

  #awaitTrial(call: Call, now: Instant): "over" | "waits" {
    if (call.phase === "answering") {
      this.#tools.ends.fail(call, "endpoint_failed", now);
      return "over";
    }
    call.phase = "waiting";
    call.awaitsTrial = true;
    this.queue.add(call);
    return "waits";
  }

  #take(call: Call, way: Exclude<Way, { kind: "wait" }>, now: Instant): void {
    switch (way.kind) {
      case "endpoint":
        return this.#tools.attempts.sendTo(call, way.placement, now);
      case "peer":
        return this.#tools.attempts.relay(call, way, now);
      case "none":
        return this.#tools.ends.fail(call, "no_endpoint", now);
    }
  }

  /** Waits for a place, unless that would take too long: then the caller learns it at once. */
  #await(
    call: Call,
    { way, ahead, now }: {
      way: Extract<Way, { kind: "wait" }>;
      ahead: Ahead;
      now: Instant;
    },
  ): void {
    const { wait, reason } = way;
    if (isTooLong(way)) {
      return this.#refuseResting(call, { wait, now });
    }
    const limited = reason === "limited";
    const time = limited ? Math.max(wait, ahead.wait) : wait + ahead.wait;
    const known = call.offered === 0 || limited;
    if (known && time > waitLimit(call.endsAt - now)) {
      const cause = limited ? "endpoints_limited" : "overloaded";
      return this.#tools.ends.fail(call, cause, now, milliseconds(time));
    }
    if (call.phase === "trying") {
      call.phase = "waiting";
    }
    this.queue.add(call);
  }

  #refuseResting(
    call: Call,
    { wait, now }: { wait: Milliseconds; now: Instant },
  ): void {
    this.#tools.ends.fail(call, "endpoints_resting", now, wait);
  }

  #ahead(call: Call): Ahead {
    const { services, rank } = call;
    // The region's entries take turns with what they have waiting.
    const turns = (1 + this.queue.callsAhead(services[0]!, rank)) *
      this.#tools.regionEntries();
    return { wait: this.#expectedWait(call), turns };
  }

  /** Time until what waits already, and goes first, will have been read. */
  #expectedWait({ rank }: Call): number {
    const engines =
      [...this.#tools.endpoints.all()].filter(({ service }) =>
        service?.engine !== undefined
      ).length;
    // The region's other entries have as much waiting: callers choose among them by chance.
    const waiting = this.queue.tokensAhead(rank) *
      this.#tools.regionEntries();
    return waiting * this.#tools.regions.readPart /
      (DEFAULT_PREFILL_RATE * Math.max(1, engines));
  }
}

/** Whether endpoints rest for longer than it makes sense to wait here rather than at the caller. */
function isTooLong({ wait, reason }: Extract<Way, { kind: "wait" }>): boolean {
  return reason === "resting" && wait > MOST_REST_WAIT_MS;
}

function waitLimit(time: number): number {
  return Math.min(MOST_WAIT_MS, time * WAIT_PART);
}

function subjectOf({ head: { id, fingerprint }, services }: Call): {
  id: RequestId;
  fingerprint: RequestFingerprint;
  services: readonly ServiceId[];
} {
  return { id, fingerprint, services };
}
