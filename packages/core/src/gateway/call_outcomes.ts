/**
 * Final outcomes of requests: complete, refused, broken off, or left by the caller.
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
import { LogThrottle } from "./log_throttle.ts";
import type {
  CallHead,
  CallRefusal,
  CallRefusalReason,
  GatewayEmit,
} from "./messages.ts";
import { createRefusal } from "./refusals.ts";
import { SizeOutcomes } from "./size_outcomes.ts";

/** Fraction by which retry times vary at random: callers with equal times would return in a wave. */
const RETRY_JITTER_FRACTION = 0.5;
/** Retry time after a refusal by a stopping entry: another entry is available at once. */
const STOPPING_RETRY_MS = 300;
/**
 * Retry time after other refusals. Endpoints that are gone or full, and a platform that does not answer, take
 * a while to recover: callers that return at once are refused again, and have used up their only retry.
 */
const DEFAULT_RETRY_MS = 1_200;

/** When the caller of a refused request should retry, `undefined` where the region's state is not known. */
export type ReturnTime = (
  call: Call,
  reason: CallRefusalReason,
  now: Instant,
) => Milliseconds | undefined;

/** Ends requests, and logs those that were served late or not at all. */
export class CallOutcomes {
  readonly #emit: GatewayEmit;
  readonly #random: Randomness;
  readonly #forget: (call: Call) => void;
  readonly #onNotRun: (call: Call, now: Instant) => void;
  readonly #returnTime: ReturnTime;
  /** Requests without a matching route. */
  readonly unrouted = new LogThrottle();
  readonly sizes = new SizeOutcomes();

  constructor(
    { emit, random, forget, onNotRun, returnTime }: {
      emit: GatewayEmit;
      random: Randomness;
      /** Called for a request that has not run and never will. */
      onNotRun: (call: Call, now: Instant) => void;
      /** Called for a request that is over. */
      forget: (call: Call) => void;
      returnTime?: ReturnTime;
    },
  ) {
    this.#emit = emit;
    this.#random = random;
    this.#forget = forget;
    this.#onNotRun = onNotRun;
    this.#returnTime = returnTime ?? (() => undefined);
  }

  /** Ends a request whose whole answer has been sent to the caller. */
  complete(call: Call, failed: boolean, now: Instant): void {
    const cause = failed
      ? "endpoint_failed"
      : call.trace.cause(call, true, now);
    if (cause !== undefined) {
      const text = failed ? "Endpoint answered a failure." : "Answer was late.";
      this.#logLoss(text, call, { cause, now });
    }
    this.#emit({ kind: "complete", request: call.head.id });
    this.#recordSize(call, !failed);
    this.#forget(call);
  }

  /** Ends a request whose caller closed the connection before the answer was complete. */
  callerLeft(call: Call, now: Instant): void {
    const cause = call.trace.cause(call, false, now) ?? "starved";
    this.#logLoss("Caller left.", call, { cause, now });
    this.#recordSize(call);
    this.#refundIfNotRun(call, now);
    this.#forget(call);
  }

  /** Aborts an answer in progress, in a way that shows the caller that it is incomplete. */
  breakOff(call: Call, cause: LossCause, now: Instant): void {
    this.log("Answer is broken off.", call, {
      cause,
      beganAt: call.origin?.version,
      ...call.trace.fields(call, now),
    });
    this.#emit({ kind: "breakOff", request: call.head.id });
    this.#recordSize(call);
    this.#forget(call);
  }

  /** Ends a request without an answer from an endpoint. The verdict depends on its attempts alone. */
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
    this.#refundIfNotRun(call, now);
    const refusal = createRefusal(reason, {
      verdict,
      offered: call.offered,
      retryAfter: this.#returnTime(call, reason, now) ??
        this.#retryAfter(reason, wait),
    });
    this.log("Request is refused.", call, {
      reason,
      verdict: verdict.kind,
      status: refusal.status,
      cause: causeOf(reason),
      retryAfterMs: rounded(refusal.retryAfter),
      ...(call.held.length > 0 ? { held: call.held } : {}),
      ...(call.isResumption ? resumptionFields(call) : {}),
      ...call.trace.fields(call, now),
    });
    this.#emit({ kind: "refuse", request: call.head.id, refusal });
    this.#recordSize(call);
    this.#forget(call);
  }

  /** Refuses a request that was not admitted. */
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
   * Refuses a request without a matching route. Log lines are throttled: scanners send such requests all the
   * time, and with a line for each, a log of limited size would hold little else.
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

  /** Logs where a stream goes on that its caller takes up, or that another entry relays. */
  logResumption(call: Call): void {
    this.log("Stream is taken up.", call, {
      ...resumptionFields(call),
      ...call.trace.placementFields(),
    });
  }

  /** Logs from time to time how requests ended by size. */
  logSizes(now: Instant): void {
    const sizes = this.sizes.takeLogged(now);
    if (sizes !== undefined) {
      this.#emit({
        kind: "log",
        part: "call",
        text: "Requests ended, by size.",
        fields: {
          sizes: sizes.map((
            { route, measure, upTo, complete, unfinished, unserved },
          ) => [route, measure, upTo, complete, unfinished, unserved]),
        },
      });
    }
  }

  /** Writes a log line about a request. */
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
    const refusal = createRefusal(reason, {
      verdict: { kind: "not_run" },
      offered: 0,
      retryAfter: wait ??
        this.#withJitter(
          reason === "stopping" ? STOPPING_RETRY_MS : DEFAULT_RETRY_MS,
        ),
    });
    this.#emit({ kind: "refuse", request: id, refusal });
    return refusal;
  }

  /** Counts the end of a request for its caller. One that another entry relayed is counted there. */
  #recordSize({ head, route, position, phase }: Call, complete = false): void {
    const { prompt, relay } = head;
    if (prompt === undefined || relay !== undefined) {
      return;
    }
    const begun = phase === "answering";
    this.sizes.record(
      route.name,
      complete ? "complete" : begun ? "unfinished" : "unserved",
      { promptTokens: prompt.promptTokens, events: position.events },
    );
  }

  #refundIfNotRun(call: Call, now: Instant): void {
    if (call.log.verdict().kind === "not_run") {
      this.#onNotRun(call, now);
    }
  }

  #logLoss(
    text: string,
    call: Call,
    { cause, now }: { cause: LossCause; now: Instant },
  ): void {
    this.log(text, call, { cause, ...call.trace.fields(call, now) });
  }

  #retryAfter(
    reason: CallRefusalReason,
    wait: Milliseconds | undefined,
  ): Milliseconds {
    // A request that is held back cannot succeed before its time, however many callers send it.
    if (reason === "held" && wait !== undefined) {
      return wait;
    }
    // Resting endpoints return at a known time and not before, so that the random part only adds to it.
    if (reason === "endpoints_resting" && wait !== undefined) {
      return milliseconds(
        wait * (1 + RETRY_JITTER_FRACTION * this.#random.next()),
      );
    }
    return this.#withJitter(Math.max(DEFAULT_RETRY_MS, wait ?? 0));
  }

  #withJitter(wait: number): Milliseconds {
    const factor = 1 + RETRY_JITTER_FRACTION * (this.#random.next() - 0.5) * 2;
    return milliseconds(wait * factor);
  }
}

/** Log fields about a stream that its caller takes up: what began it, and how that is known. */
function resumptionFields(
  { head, origin, originSource }: Call,
): Record<string, unknown> {
  return {
    resumes: resumedName(head),
    afterEvent: head.lastEventId,
    beganAt: origin?.version,
    knownFrom: originSource,
  };
}

/** How a log line names the call that began a stream. */
function resumedName({ resumedCall }: CallHead): string | undefined {
  return resumedCall?.kind === "named" ? resumedCall.call : resumedCall?.kind;
}

function rounded(time: Milliseconds | undefined): number | undefined {
  return time === undefined ? undefined : Math.round(time);
}

/** Cause to log for a refusal: where an endpoint received the request, that endpoint's failure. */
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
