/**
 * Attempts under way: what is sent where, and what it takes there.
 *
 * @module
 */
import type { EndpointTerms } from "../endpoint_terms/index.ts";
import type { PrefixNews } from "../fleet/index.ts";
import { type AttemptId, type Instant, milliseconds } from "../ids/index.ts";
import type { Call, OpenAttempt } from "./call.ts";
import type { CallRouter, Way } from "./call_router.ts";
import type { Chosen } from "./local_places.ts";
import type { ColdAllowance } from "./cold_allowance.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { CallAnswer, CallTarget, GatewayEmit } from "./messages.ts";
import { mostIdle } from "./idle_limit.ts";
import { sharedParts } from "./placement.ts";
import type { QuarantineController, RunEnd } from "../quarantine/index.ts";
import type { RegionController } from "./region_controller.ts";
import type { RepeatBudget } from "./repeat_budget.ts";

/** Another process answers at the address of the endpoint that was meant. */
export const MISDIRECTED = 421;

/** From this status on an answer is a failure of its endpoint. */
export const FIRST_SERVER_ERROR = 500;

/** What attempts are made with. */
export interface AttemptTools {
  readonly emit: GatewayEmit;
  readonly regions: RegionController;
  readonly router: CallRouter;
  readonly budget: RepeatBudget;
  readonly cold: ColdAllowance;
  readonly quarantine: QuarantineController;
  readonly terms: EndpointTerms;
}

/** A request with its attempt under way. */
export interface InFlightCall {
  readonly call: Call;
  readonly attempt: OpenAttempt;
}

/** Keeps the attempts under way. */
export class CallAttempts {
  readonly #tools: AttemptTools;
  readonly #calls = new Map<AttemptId, Call>();
  #prefixNews: PrefixNews[] = [];

  constructor(tools: AttemptTools) {
    this.#tools = tools;
  }

  /** The request of an attempt, `undefined` where it is no longer under way. */
  find(id: AttemptId): InFlightCall | undefined {
    const call = this.#calls.get(id);
    const attempt = call?.attempt;
    return call === undefined || attempt?.id !== id
      ? undefined
      : { call, attempt };
  }

  /** Prefixes that engines were given to read since the last call. */
  takePrefixNews(): PrefixNews[] {
    const news = this.#prefixNews;
    this.#prefixNews = [];
    return news;
  }

  /** Sends to an endpoint. */
  sendTo(call: Call, chosen: Chosen, now: Instant): void {
    const { state, prefill, tokens } = chosen;
    const target = this.#tools.router.targetOf(call, chosen, now);
    const attempt = this.#open(call, { target, state, now });
    call.trace.reads(prefill);
    state.begin(attempt.id, { prefill, tokens }, now);
    state.health.used(now);
    const { prompt } = call.head;
    if (prompt !== undefined && state.service?.engine !== undefined) {
      const parts = sharedParts(prompt);
      this.#tools.regions.noteReading(prefill, prompt.promptTokens);
      state.prefixes.use(parts);
      const { id, life } = state.record;
      this.#prefixNews.push({ endpoint: id, life, parts });
    }
    this.#emitSend(call, attempt, now);
  }

  /** Passes a request on to an entry of another region. */
  relay(
    call: Call,
    { incarnation, region, address }: Extract<Way, { kind: "peer" }>,
    now: Instant,
  ): void {
    if (call.attempts === 0) {
      const { regions } = this.#tools;
      const { arrivedAt } = call;
      regions.noteRelayed(call.services[0]!, call.head.prompt, {
        arrivedAt,
        now,
      });
    }
    const target: CallTarget = {
      kind: "peer",
      incarnation,
      region,
      address,
      sentBefore: call.arrivals,
    };
    const attempt = this.#open(call, { target, state: undefined, now });
    this.#emitSend(call, attempt, now);
  }

  /** The request is about to be written. */
  noteSent(call: Call, attempt: OpenAttempt, now: Instant): void {
    const { state, id } = attempt;
    attempt.sentAt = now;
    call.trace.sent(now);
    call.log.record(id, "sent");
    if (state !== undefined) {
      call.tried.add(state.record.id);
      call.unreached.delete(state.record.id);
      call.offered++;
      if (call.arrivals === 0) {
        this.#tools.budget.noteFirst(state.record.service, now);
      }
      if (state.isCold(now)) {
        this.#tools.cold.spend(state.record.id, now);
      }
      const { fingerprint } = call.head;
      const { path } = call;
      const run = { attempt: id, fingerprint, path, sentAt: now };
      this.#tools.quarantine.began(state, run, call.head.id);
      this.#tools.terms.rests.noteSent(state.record, now);
    }
    call.sent += attemptsOf(call, attempt);
  }

  /** An attempt is not read because its caller has no room, or is read again. */
  noteHeld(
    { trace }: Call,
    attempt: OpenAttempt,
    { held, now }: { held: boolean; now: Instant },
  ): void {
    if (held === (attempt.heldSince !== undefined)) {
      return;
    }
    if (attempt.state !== undefined) {
      this.#tools.quarantine.held(attempt.state, attempt.id, { held, now });
    }
    if (attempt.heldSince === undefined) {
      attempt.heldSince = now;
    } else {
      trace.held(milliseconds(now - attempt.heldSince), now);
      attempt.heldSince = undefined;
      attempt.heardAt = now;
    }
  }

  /** Takes what the head of an answer says of its endpoint. */
  noteHead(
    { head }: Call,
    { state }: OpenAttempt,
    { answer, now }: { answer: CallAnswer; now: Instant },
  ): void {
    if (state === undefined) {
      return;
    }
    const { load, status } = answer;
    state.heardAt = now;
    state.load = load ?? state.load;
    state.loadAt = load === undefined ? state.loadAt : now;
    if (status === MISDIRECTED) {
      return;
    }
    const { record } = state;
    const { terms } = this.#tools;
    const stating = { call: head.call, status };
    terms.limits.hear(record, { stated: answer.limit, answer: stating }, now);
    if (answer.leaving) {
      terms.departures.hear(record, stating);
    }
    if (!answer.notRun && status < FIRST_SERVER_ERROR) {
      terms.rests.noteServed(record, now);
    }
    if (answer.rest !== undefined) {
      terms.rests.hear(record, { stated: answer.rest, answer: stating }, now);
    }
  }

  /** The attempt under way is over, one way or another. */
  close(
    call: Call,
    state: "unsent" | "lost" | "refused" | "completed",
    now: Instant,
  ): void {
    const { attempt } = call;
    if (attempt !== undefined) {
      this.noteHeld(call, attempt, { held: false, now });
      const { permit, sentAt } = attempt;
      if (permit !== undefined && sentAt === undefined) {
        this.#tools.terms.limits.giveBack(attempt.state!.record, permit);
      }
      call.log.record(attempt.id, state);
      attempt.state?.end(attempt.id, now);
      this.#calls.delete(attempt.id);
      call.attempt = undefined;
      this.#noteEnd(call, attempt, { state, now });
    }
  }

  #noteEnd(
    { head: { fingerprint } }: Call,
    { id, state: endpoint, sentAt, failed }: OpenAttempt,
    { state, now }: {
      state: "unsent" | "lost" | "refused" | "completed";
      now: Instant;
    },
  ): void {
    if (endpoint === undefined || sentAt === undefined) {
      return;
    }
    const lost = state === "lost" || failed;
    const end: RunEnd = lost
      ? "lost"
      : state === "completed"
      ? "answered"
      : "refused";
    const run = { attempt: id, fingerprint, end };
    this.#tools.quarantine.ended(endpoint, run, now);
    if (failed) {
      this.#tools.quarantine.broken(endpoint, now);
    }
  }

  /** Gives up the attempt under way, if there still is one. */
  leave(call: Call, now: Instant): void {
    if (call.attempt !== undefined) {
      this.#tools.emit({ kind: "abort", attempt: call.attempt.id });
      this.close(call, "lost", now);
    }
  }

  #open(
    call: Call,
    { target, state, now }: {
      target: CallTarget;
      state: EndpointState | undefined;
      now: Instant;
    },
  ): OpenAttempt {
    call.attempts++;
    const id = `${call.head.id}.${call.attempts}` as AttemptId;
    const attempt: OpenAttempt = {
      id,
      target,
      state,
      madeAt: now,
      permit: state === undefined
        ? undefined
        : this.#tools.terms.limits.take(state.record, now),
      sentAt: undefined,
      heardAt: undefined,
      heldSince: undefined,
      failed: false,
      unfinished: 0,
    };
    call.attempt = attempt;
    call.trace.placed(attempt);
    if (call.phase === "waiting") {
      call.phase = "trying";
    }
    call.log.record(id, "prepared");
    this.#calls.set(id, call);
    return attempt;
  }

  #emitSend(
    call: Call,
    { id, target, state }: OpenAttempt,
    now: Instant,
  ): void {
    this.#tools.emit({
      kind: "send",
      attempt: {
        id,
        request: call.head.id,
        target,
        streaming: call.route.kind === "stream",
        mostIdle: milliseconds(mostIdle(call, state, now)),
        customer: call.customer?.id,
        resumeAfter: call.position.lastId,
      },
    });
  }
}

/**
 * A peer may use all attempts of a request that is passed on to it, and its connection may break before
 * it tells. Counted as one, the request could run at more endpoints than its route allows.
 */
export function attemptsOf({ route }: Call, { target }: OpenAttempt): number {
  return target.kind === "peer" ? route.attempts : 1;
}
