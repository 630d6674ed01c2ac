/**
 * How requests end without the answer of an endpoint.
 *
 * @module
 */
import {
  type CustomerId,
  type Instant,
  type Milliseconds,
  milliseconds,
  type Randomness,
  type Revision,
} from "../ids/index.ts";
import type { Call } from "./call.ts";
import type { LossCause } from "./call_trace.ts";
import { LineTally } from "./line_tally.ts";
import type {
  CallHead,
  CallRefusal,
  CallRefusalReason,
  GatewayEmit,
} from "./messages.ts";
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
  readonly #spared: (call: Call, now: Instant) => void;
  /** Requests that no route takes. */
  readonly unrouted = new LineTally();

  constructor(
    { emit, random, forget, spared }: {
      emit: GatewayEmit;
      random: Randomness;
      /** The request has not run, and never will. */
      spared: (call: Call, now: Instant) => void;
      /** The request is over. */
      forget: (call: Call) => void;
    },
  ) {
    this.#emit = emit;
    this.#random = random;
    this.#forget = forget;
    this.#spared = spared;
  }

  /** The whole answer has gone to the caller. */
  complete(call: Call, failed: boolean, now: Instant): void {
    const cause = failed
      ? "endpoint_failed"
      : call.trace.cause(call, true, now);
    if (cause !== undefined) {
      const text = failed ? "Endpoint answered a failure." : "Answer was late.";
      this.#logLoss(text, call, { cause, now });
    }
    this.#emit({ kind: "complete", request: call.head.id });
    this.#forget(call);
  }

  /** The caller has closed its connection before its answer was whole. */
  left(call: Call, now: Instant): void {
    const cause = call.trace.cause(call, false, now) ?? "starved";
    this.#logLoss("Caller left.", call, { cause, now });
    this.#spare(call, now);
    this.#forget(call);
  }

  /** Ends an answer that has begun: its caller must see that it is not whole. */
  breakOff(call: Call, cause: LossCause, now: Instant): void {
    this.#logLoss("Answer is broken off.", call, { cause, now });
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
      return this.breakOff(call, causeOf(reason), now);
    }
    const verdict = call.log.verdict();
    this.#spare(call, now);
    const refusal = refuse(reason, {
      verdict,
      offered: call.offered,
      retryAfter: this.#returnTime(reason, wait),
    });
    this.log("Request is refused.", call, {
      reason,
      verdict: verdict.kind,
      status: refusal.status,
      cause: causeOf(reason),
      retryAfterMs: rounded(refusal.retryAfter),
      ...call.trace.fields(call, now),
    });
    this.#emit({ kind: "refuse", request: call.head.id, refusal });
    this.#forget(call);
  }

  /** Refuses what has not become a request. */
  refuseHead(
    head: CallHead,
    reason: CallRefusalReason,
    { wait, customer }: { wait?: Milliseconds; customer?: CustomerId } = {},
  ): void {
    const refusal = this.#refuse(head, reason, wait);
    this.#emit({
      kind: "log",
      part: "call",
      text: "Request is refused.",
      fields: {
        call: head.call,
        attempts: 0,
        reason,
        customer,
        status: refusal.status,
        cause: "refused",
        retryAfterMs: rounded(refusal.retryAfter),
      },
    });
  }

  /**
   * Refuses a request that no route takes. Callers that probe send them all the time: with a line for
   * each, a log that is cut short holds little else.
   */
  refuseUnrouted(
    { head, version }: { head: CallHead; version: Revision },
    now: Instant,
  ): void {
    const count = this.unrouted.add(now);
    if (count > 0) {
      this.#emit({
        kind: "log",
        part: "call",
        text: "Requests without a route are refused.",
        fields: { requests: count, call: head.call, version },
      });
    }
    this.#refuse(head, "no_route");
  }

  /** Writes a line about a request. */
  log(
    text: string,
    { head, route, customer, attempts }: Call,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.#emit({
      kind: "log",
      part: "call",
      text,
      fields: {
        call: head.call,
        route: route.name,
        customer: customer?.id,
        attempts,
        ...fields,
      },
    });
  }

  #refuse(
    { id }: CallHead,
    reason: CallRefusalReason,
    wait?: Milliseconds,
  ): CallRefusal {
    const refusal = refuse(reason, {
      verdict: { kind: "not_run" },
      offered: 0,
      retryAfter: wait ??
        this.#spread(reason === "stopping" ? SOON_MS : LATER_MS),
    });
    this.#emit({ kind: "refuse", request: id, refusal });
    return refusal;
  }

  #spare(call: Call, now: Instant): void {
    if (call.log.verdict().kind === "not_run") {
      this.#spared(call, now);
    }
  }

  #logLoss(
    text: string,
    call: Call,
    { cause, now }: { cause: LossCause; now: Instant },
  ): void {
    this.log(text, call, { cause, ...call.trace.fields(call, now) });
  }

  #returnTime(
    reason: CallRefusalReason,
    wait: Milliseconds | undefined,
  ): Milliseconds {
    // A held request is of no use before its time, however many callers send it.
    if (reason === "held" && wait !== undefined) {
      return wait;
    }
    // Endpoints that rest are back at a known time, and not before.
    if (reason === "endpoints_resting" && wait !== undefined) {
      return milliseconds(wait * (1 + RETRY_SPREAD * this.#random.next()));
    }
    return this.#spread(Math.max(LATER_MS, wait ?? 0));
  }

  #spread(wait: number): Milliseconds {
    const drawn = 1 + RETRY_SPREAD * (this.#random.next() - 0.5) * 2;
    return milliseconds(wait * drawn);
  }
}

function rounded(time: Milliseconds | undefined): number | undefined {
  return time === undefined ? undefined : Math.round(time);
}

/** The cause behind a refusal: where an endpoint got the request, it is the endpoint's end. */
function causeOf(reason: CallRefusalReason): LossCause {
  switch (reason) {
    case "endpoint_failed":
      return "endpoint_lost";
    case "deadline":
      return "slow_start";
    default:
      return "refused";
  }
}
