/**
 * Records what happens to one request. If the request is served late or not at all, the log line about its end
 * gives the cause and what was known when it was placed.
 *
 * @module
 */
import type { Instant, Milliseconds } from "../ids/index.ts";
import type { AttemptState } from "../verdict/index.ts";
import type { Call, OpenAttempt } from "./call.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { CallAnswer, CallTarget } from "./messages.ts";

/** A caller whose connection was full for more than this fraction of its stream's time counts as slow. */
const SLOW_CALLER_FRACTION = 0.5;

/** Why a request was served late or not at all, as far as this entry can tell. */
export type LossCause =
  /** It got no capacity in time. */
  | "waited"
  /** It was sent in time, but its first event or its answer came late or not at all. */
  | "slow_start"
  /** The gap between two of its events was longer than its route allows. */
  | "paused"
  /** Its events came, but too slowly to finish in time. */
  | "starved"
  /** Its caller read too slowly. */
  | "slow_caller"
  /** The endpoint or its connection failed. */
  | "endpoint_lost"
  /** The endpoint answered with a failure. */
  | "endpoint_failed"
  /** This entry refused it. */
  | "refused";

/** What was known when an attempt was made. */
interface PlacedAttempt {
  readonly endpoint: string;
  /** Software version of the endpoint as its record states it, `undefined` for an attempt through a peer. */
  readonly version: string | undefined;
  /** Prompt tokens that the endpoint was expected to read for this request. */
  readonly prefill: number;
  /** Prompt tokens that the endpoint already had to read, as far as this entry knew. */
  readonly backlog: number;
  readonly requests: number;
}

/** An attempt that was abandoned before its answer was complete. */
interface Interruption {
  /** Endpoint, or entry of another region. */
  readonly from: string;
  /** Software version of the endpoint as its record states it. */
  readonly fromVersion: string | undefined;
  /** Reason for abandoning the attempt. */
  readonly leftFor: string;
  /** Bytes of an incomplete event, which no caller receives. */
  readonly droppedBytes: number;
}

/** One time that the request was written to an endpoint or a peer. */
interface Send {
  readonly to: string;
  readonly at: Instant;
  /** How the attempt ended, `undefined` while it is in progress. */
  end?: AttemptState;
}

/** What an endpoint was doing when an attempt ended there. */
interface EndpointLoad {
  readonly endRequests: number;
  readonly endPrefillShare: number;
}

/** History of one request. */
export class CallTrace {
  #interruption: Interruption | undefined;
  #placed: PlacedAttempt | undefined;
  #sentAt: Instant | undefined;
  #firstSentAt: Instant | undefined;
  #firstAt: Instant | undefined;
  #lastAt: Instant | undefined;
  #longestPause = 0;
  #backpressureMs = 0;
  #events = 0;
  #answer: CallAnswer | undefined;
  #load: EndpointLoad | undefined;
  readonly #sends: Send[] = [];

  /** Records a new attempt. Must be called before the attempt counts at its endpoint. */
  notePlaced({ target, state }: Pick<OpenAttempt, "target" | "state">): void {
    this.#placed = {
      endpoint: targetName(target),
      version: state?.record.softwareVersion,
      prefill: 0,
      backlog: state?.prefill ?? 0,
      requests: state?.requests ?? 0,
    };
  }

  /** Records how many prompt tokens the endpoint has to read. */
  notePrefill(prefill: number): void {
    if (this.#placed !== undefined) {
      this.#placed = { ...this.#placed, prefill };
    }
  }

  noteSent(now: Instant): void {
    this.#sentAt = now;
    this.#firstSentAt ??= now;
    this.#sends.push({ to: this.#placed?.endpoint ?? "", at: now });
  }

  /** Records what the endpoint of an attempt does that is about to end. */
  noteEndpointLoad(state: EndpointState, now: Instant): void {
    this.#load = {
      endRequests: state.requests,
      endPrefillShare: Number(state.prefillShare(now).toFixed(2)),
    };
  }

  /** Records how the attempt that was sent last ended. */
  noteEnd(end: AttemptState): void {
    const last = this.#sends[this.#sends.length - 1];
    if (last !== undefined) {
      last.end ??= end;
    }
  }

  /** Records the head of an attempt's answer. */
  noteAnswer(answer: CallAnswer): void {
    this.#answer = answer;
  }

  /** Records that bytes of the answer arrived. */
  noteBytes(now: Instant): void {
    this.#firstAt ??= now;
    if (this.#lastAt !== undefined) {
      this.#longestPause = Math.max(this.#longestPause, now - this.#lastAt);
    }
    this.#lastAt = now;
    this.#events++;
  }

  /** Records how long an answer was not read due to backpressure, which is no pause of the endpoint. */
  noteBackpressure(duration: Milliseconds, now: Instant): void {
    this.#backpressureMs += duration;
    this.#lastAt = now;
  }

  /** Records that an attempt is abandoned. Must be called before the next one is made. */
  noteInterrupted(
    { target, partialEventBytes }: OpenAttempt,
    leftFor: string,
  ): void {
    this.#interruption = {
      from: targetName(target),
      fromVersion: this.#placed?.version,
      leftFor,
      droppedBytes: partialEventBytes,
    };
  }

  /** Log fields about a stream that is resumed at another endpoint. */
  interruptionFields(): Record<string, unknown> {
    return { ...this.#interruption, ...this.placementFields() };
  }

  /** Log fields about the endpoint or peer of the current attempt. */
  placementFields(): Record<string, unknown> {
    return { endpoint: this.#placed?.endpoint, version: this.#placed?.version };
  }

  /** Returns why a request that ends now was late or not served, `undefined` where it was on time. */
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
      // Measured until the first send: time at an endpoint that was abandoned is no wait for capacity.
      const waited = this.#firstSentAt - call.arrivedAt;
      return waited > start / 2 ? "waited" : "slow_start";
    }
    if (
      !served &&
      this.#backpressureMs > (now - this.#firstAt!) * SLOW_CALLER_FRACTION
    ) {
      return "slow_caller";
    }
    if (pause > (pauseObjective ?? Infinity)) {
      return "paused";
    }
    return served ? undefined : "starved";
  }

  /** Log fields about the end of the request. */
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
      heldMs: Math.round(this.#backpressureMs),
      events: this.#events,
      endedMs: since(now),
      ...this.#load,
      relayed: head.relay !== undefined,
      ...this.answerFields(),
      ...this.#sendFields(arrivedAt),
    };
  }

  /** Log field about where a request was sent, unless the fields about the last attempt tell it all. */
  #sendFields(arrivedAt: Instant): Record<string, unknown> {
    return this.#sends.length < 2 ? {} : {
      sends: this.#sends.map(({ to, at, end }) => ({
        to,
        atMs: Math.round(at - arrivedAt),
        end,
      })),
    };
  }

  /** Log fields about what ended the attempt before the one that is about to be sent. */
  previousFields(): Record<string, unknown> {
    const last = this.#sends[this.#sends.length - 1];
    return last === undefined
      ? {}
      : { previous: last.to, previousEnd: last.end, ...this.answerFields() };
  }

  /** Log fields about the last answer: what it claims, and what shows that it belongs to the request. */
  answerFields(): Record<string, unknown> {
    if (this.#answer === undefined) {
      return {};
    }
    const { status, notRun, namesRequest, fromEndpoint, reusedConnection } =
      this.#answer;
    return {
      answerStatus: status,
      answerNotRun: notRun,
      answerNamesRequest: namesRequest,
      answerSealed: fromEndpoint,
      reusedConnection,
    };
  }
}

function targetName(target: CallTarget): string {
  return target.kind === "endpoint" ? target.endpoint : target.incarnation;
}
