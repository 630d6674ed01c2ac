/**
 * How requests end without the answer of an endpoint.
 *
 * @module
 */
import {
  type Instant,
  type Milliseconds,
  milliseconds,
  type Randomness,
} from "../ids/index.ts";
import type { Call } from "./call.ts";
import type { CallHead, CallRefusalReason, GatewayEmit } from "./messages.ts";
import { refuse } from "./refusals.ts";

/** Callers come back in a wave if all are told the same time: this part of it is drawn. */
const RETRY_SPREAD = 0.5;
/** Another entry in the place of a stopping one is there at once. */
const SOON_MS = 300;
/**
 * Endpoints that are gone or full, and a platform that does not answer, are not back within a moment:
 * callers who return at once are refused again, and have lost their second try.
 */
const LATER_MS = 1_200;

/** Refuses and breaks off. */
export class CallEnds {
  readonly #emit: GatewayEmit;
  readonly #random: Randomness;
  readonly #forget: (call: Call) => void;

  constructor(
    { emit, random, forget }: {
      emit: GatewayEmit;
      random: Randomness;
      /** The request is over. */
      forget: (call: Call) => void;
    },
  ) {
    this.#emit = emit;
    this.#random = random;
    this.#forget = forget;
  }

  /** Ends an answer that has begun: its caller must see that it is not whole. */
  breakOff(call: Call): void {
    this.log("Answer is broken off.", call, {});
    this.#emit({ kind: "breakOff", request: call.head.id });
    this.#forget(call);
  }

  /** Ends a request without an answer of an endpoint. The verdict comes from its attempts alone. */
  fail(
    call: Call,
    reason: CallRefusalReason,
    now: Instant,
    wait?: Milliseconds,
  ): void {
    if (call.phase === "answering") {
      return this.breakOff(call);
    }
    const verdict = call.log.verdict();
    const refusal = refuse(reason, {
      verdict,
      retryAfter: this.#spread(Math.max(LATER_MS, wait ?? 0)),
    });
    this.log("Request is refused.", call, {
      reason,
      verdict: verdict.kind,
      status: refusal.status,
      afterMs: Math.round(now - call.arrivedAt),
    });
    this.#emit({ kind: "refuse", request: call.head.id, refusal });
    this.#forget(call);
  }

  /** Refuses what has not become a request. */
  refuseHead({ id, call }: CallHead, reason: CallRefusalReason): void {
    const refusal = refuse(reason, {
      verdict: { kind: "not_run" },
      retryAfter: this.#spread(reason === "stopping" ? SOON_MS : LATER_MS),
    });
    this.#emit({
      kind: "log",
      part: "call",
      text: "Request is refused.",
      fields: {
        call,
        attempts: 0,
        reason,
        status: refusal.status,
        cause: "refused",
      },
    });
    this.#emit({ kind: "refuse", request: id, refusal });
  }

  /** Writes a line about a request. */
  log(
    text: string,
    { head, route, attempts }: Call,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.#emit({
      kind: "log",
      part: "call",
      text,
      fields: { call: head.call, route: route.name, attempts, ...fields },
    });
  }

  #spread(wait: number): Milliseconds {
    const drawn = 1 + RETRY_SPREAD * (this.#random.next() - 0.5) * 2;
    return milliseconds(wait * drawn);
  }
}
