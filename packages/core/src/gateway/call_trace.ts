/**
 * What happened to one request on its way, kept until it ends: a request that is served badly leaves a
 * line with its cause and what was known when it was placed.
 *
 * @module
 */
import type { Instant, Milliseconds } from "../ids/index.ts";
import type { Call, OpenAttempt } from "./call.ts";
import type { CallTarget } from "./messages.ts";

/** A caller that has no room for this part of its stream's time is the one that is slow. */
const SLOW_PART = 0.5;

/** Why a request was served late or not at all, as far as the entry saw it. */
export type LossCause =
  /** No place for it in time. */
  | "waited"
  /** Sent in time, and its first event or its answer came late or not at all. */
  | "slow_start"
  /** Its events paused for longer than its route allows. */
  | "paused"
  /** Its events came, too slowly for its time. */
  | "starved"
  /** Its caller read too slowly. */
  | "slow_caller"
  /** The endpoint or its connection broke off. */
  | "endpoint_lost"
  /** The endpoint answered with a failure. */
  | "endpoint_failed"
  /** The entry refused it. */
  | "refused";

/** What was known when an attempt was made. */
interface Placed {
  readonly endpoint: string;
  /** Prompt tokens that it was expected to read for this request. */
  readonly prefill: number;
  /** Tokens that it already had to read, by this entry's picture. */
  readonly backlog: number;
  readonly requests: number;
}

/** An attempt that was left before its answer was whole. */
interface Interruption {
  /** Endpoint, or entry of another region. */
  readonly from: string;
  /** Why it was left. */
  readonly leftFor: string;
  /** Bytes of an event that it did not finish: no caller gets them. */
  readonly droppedBytes: number;
}

/** Notes of one request. */
export class CallTrace {
  #interruption: Interruption | undefined;
  #placed: Placed | undefined;
  #sentAt: Instant | undefined;
  #firstSentAt: Instant | undefined;
  #firstAt: Instant | undefined;
  #lastAt: Instant | undefined;
  #longestPause = 0;
  #heldFor = 0;
  #events = 0;

  /** An attempt is made; call it before the attempt counts at the endpoint. */
  placed({ target, state }: Pick<OpenAttempt, "target" | "state">): void {
    this.#placed = {
      endpoint: nameOf(target),
      prefill: 0,
      backlog: state?.prefill ?? 0,
      requests: state?.requests ?? 0,
    };
  }

  /** What the endpoint will have to read. */
  reads(prefill: number): void {
    if (this.#placed !== undefined) {
      this.#placed = { ...this.#placed, prefill };
    }
  }

  sent(now: Instant): void {
    this.#sentAt = now;
    this.#firstSentAt ??= now;
  }

  /** Bytes of the answer arrived. */
  heard(now: Instant): void {
    this.#firstAt ??= now;
    if (this.#lastAt !== undefined) {
      this.#longestPause = Math.max(this.#longestPause, now - this.#lastAt);
    }
    this.#lastAt = now;
    this.#events++;
  }

  /** An attempt was not read for so long, because its caller had no room: no pause of the endpoint's. */
  held(duration: Milliseconds, now: Instant): void {
    this.#heldFor += duration;
    this.#lastAt = now;
  }

  /** An attempt is left; call it before the next one is made. */
  interrupted({ target, unfinished }: OpenAttempt, leftFor: string): void {
    this.#interruption = {
      from: nameOf(target),
      leftFor,
      droppedBytes: unfinished,
    };
  }

  /** Fields of the line about a stream that goes on elsewhere. */
  interruption(): Record<string, unknown> {
    return { ...this.#interruption, endpoint: this.#placed?.endpoint };
  }

  /** Why a request that ends now, unserved or late, does; `undefined` where it was on time. */
  cause(call: Call, served: boolean, now: Instant): LossCause | undefined {
    const { objective, pauseObjective } = call.route;
    const pause = Math.max(
      this.#longestPause,
      served || this.#lastAt === undefined ? 0 : now - this.#lastAt,
    );
    if (this.#firstSentAt === undefined) {
      return "waited";
    }
    const start = (this.#firstAt ?? now) - call.arrivedAt;
    if (start > objective) {
      // Until the first send: what an endpoint took that was left is no wait for a place.
      const waited = this.#firstSentAt - call.arrivedAt;
      return waited > start / 2 ? "waited" : "slow_start";
    }
    if (!served && this.#heldFor > (now - this.#firstAt!) * SLOW_PART) {
      return "slow_caller";
    }
    if (pause > (pauseObjective ?? Infinity)) {
      return "paused";
    }
    return served ? undefined : "starved";
  }

  /** Fields of the line. */
  fields({ head, arrivedAt }: Call, now: Instant): Record<string, unknown> {
    const since = (at: Instant | undefined): number | undefined =>
      at === undefined ? undefined : Math.round(at - arrivedAt);
    return {
      ...this.#placed,
      promptTokens: head.prompt?.promptTokens,
      outputTokens: head.prompt?.outputTokens,
      outputHint: head.prompt?.outputHint,
      sentMs: since(this.#sentAt),
      firstMs: since(this.#firstAt),
      pauseMs: Math.round(this.#longestPause),
      heldMs: Math.round(this.#heldFor),
      events: this.#events,
      endedMs: since(now),
      relayed: head.relay !== undefined,
    };
  }
}

function nameOf(target: CallTarget): string {
  return target.kind === "endpoint" ? target.endpoint : target.incarnation;
}
