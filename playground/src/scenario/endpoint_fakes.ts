/**
 * Fake endpoints in virtual time. They count the calls that ran; verdicts are checked against these counts.
 *
 * @module
 */
import type {
  EndpointId,
  LoadReport,
  Milliseconds,
  RegionId,
  ZoneId,
} from "@sassafrasstep/core";
import type { Spot } from "./network.ts";

/**
 * What a fake endpoint does with a call. A `..._before` behaviour applies before the call runs, an
 * `..._after` behaviour after it ran.
 */
export type FakeBehaviour =
  | "normal"
  /** Answers 503 without running the call. */
  | "refuse"
  /** Runs the call, then answers 500. */
  | "fail"
  | "reset_before"
  | "reset_after"
  | "hang_before"
  | "hang_after"
  /** Breaks a stream after half its tokens. */
  | "cut_stream";

/** A call that arrives at a fake endpoint. */
export interface FakeCall {
  readonly attempt: string;
  /** The id that the first entry assigned to the request. */
  readonly originId: string;
  readonly key: string | undefined;
  readonly customer: string;
  readonly resumeOffset: number;
}

/** How a call ends and after what delay. */
export interface FakeReply {
  readonly afterMs: number;
  readonly end:
    | {
      readonly kind: "answer";
      readonly status: number;
      readonly body: string;
    }
    | {
      readonly kind: "stream";
      readonly tokens: number;
      readonly complete: boolean;
    }
    | { readonly kind: "reset" }
    | { readonly kind: "none" };
}

/** Number of tokens in every fake stream. */
export const FAKE_ANSWER_TOKENS = 20;

/** A fake endpoint on its own VM. */
export class FakeEndpoint implements Spot {
  behaviour: FakeBehaviour = "normal";
  dead = false;
  draining = false;
  /** Whether the VM list omits this endpoint although it runs. */
  unlisted = false;
  /** Whether the VM list shows this endpoint as leaving. */
  listedAsLeaving = false;
  /** When an entry of each zone was first told that this endpoint is leaving, by zone. */
  readonly leavingNoticeTimes = new Map<string, number>();
  holdMs: number;
  slots: number;
  model: string;
  fence = 0;
  fenced = true;
  loads: {
    readonly at: number;
    readonly model: string;
    readonly fence: number;
  }[] = [];
  readonly id: EndpointId;
  readonly kind: "engine" | "plain";
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly pool: string;
  /** A replacement VM may reuse the address of the former one. */
  readonly url: string;
  /** Number of runs by idempotency key, or by the request's original id if it has no key. */
  readonly runs = new Map<string, number>();
  readonly callers = new Set<string>();
  #running = 0;

  constructor(
    location: Spot,
    { id, kind, pool, slots, holdMs, model, url = `http://${id}` }: {
      id: string;
      url?: string;
      kind: "engine" | "plain";
      pool: string;
      slots: number;
      holdMs: number;
      model: string;
    },
  ) {
    this.id = id as EndpointId;
    this.kind = kind;
    this.zone = location.zone as ZoneId;
    this.region = location.region as RegionId;
    this.pool = pool;
    this.url = url;
    this.slots = slots;
    this.holdMs = holdMs;
    this.model = model;
  }

  get running(): number {
    return this.#running;
  }

  /** Accepts a call and returns how it ends. `finishCall` must be called when it ends. */
  handleCall(call: FakeCall): FakeReply {
    this.#running++;
    this.callers.add(call.customer);
    if (this.behaviour === "refuse" || this.draining) {
      return { afterMs: 1, end: { kind: "answer", status: 503, body: "busy" } };
    }
    if (this.behaviour === "reset_before") {
      return { afterMs: 1, end: { kind: "reset" } };
    }
    if (this.behaviour === "hang_before") {
      return { afterMs: 0, end: { kind: "none" } };
    }
    this.#countRun(call.key ?? call.originId);
    return { afterMs: this.holdMs, end: this.#chooseEnd(call) };
  }

  /** Records that an entry of a zone was told that this endpoint is leaving. */
  recordLeavingNotice(zone: string, now: number): void {
    if (!this.leavingNoticeTimes.has(zone)) {
      this.leavingNoticeTimes.set(zone, now);
    }
  }

  finishCall(): void {
    this.#running--;
  }

  report(): LoadReport {
    return {
      age: 0 as Milliseconds,
      running: this.#running,
      queued: 0,
      slots: this.slots,
      prefillRate: this.kind === "engine" ? 4_000 : 0,
      holdTime: this.holdMs as Milliseconds,
      draining: this.draining,
      model: this.model,
      // An engine that ignores fencing numbers does not report one either.
      fence: this.fenced ? this.fence : 0,
      evicted: [],
      cacheGap: false,
    };
  }

  /** Loads a model as an engine would; returns whether the order was accepted. */
  order(
    { model, fence, expected }: {
      model: string;
      fence: number;
      expected: string;
    },
    now: number,
  ): boolean {
    if ((this.fenced && fence < this.fence) || expected !== this.model) {
      return false;
    }
    this.model = model;
    this.fence = Math.max(fence, this.fence);
    this.loads.push({ at: now, model, fence });
    return true;
  }

  #chooseEnd(call: FakeCall): FakeReply["end"] {
    switch (this.behaviour) {
      case "fail":
        return { kind: "answer", status: 500, body: "failed" };
      case "reset_after":
        return { kind: "reset" };
      case "hang_after":
        return { kind: "none" };
      case "cut_stream":
        return {
          kind: "stream",
          tokens: call.resumeOffset + FAKE_ANSWER_TOKENS / 2,
          complete: false,
        };
      default:
        return this.kind === "engine"
          ? { kind: "stream", tokens: FAKE_ANSWER_TOKENS, complete: true }
          : {
            kind: "answer",
            status: 200,
            body: `answer for ${call.key ?? call.originId}`,
          };
    }
  }

  #countRun(id: string): void {
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
  }
}
