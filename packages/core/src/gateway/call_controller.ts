/**
 * The life of each request: placed, sent, answered, repeated or refused.
 *
 * @module
 */
import type { PrefixNews } from "../fleet/index.ts";
import {
  after,
  type AttemptId,
  hash32,
  type Instant,
  type Milliseconds,
  milliseconds,
  type Randomness,
  type RequestId,
} from "../ids/index.ts";
import { Call, type OpenAttempt } from "./call.ts";
import { CallQueue } from "./call_queue.ts";
import {
  type CallRouter,
  type Chosen,
  MOST_ATTEMPTS,
  orderServices,
  type Way,
} from "./call_router.ts";
import type { CatalogueView } from "./catalogue_controller.ts";
import type { ColdAllowance } from "./cold_allowance.ts";
import type { EndpointBook } from "./endpoint_book.ts";
import { DEFAULT_PREFILL_RATE, type EndpointState } from "./endpoint_state.ts";
import {
  type CallAnswer,
  type CallEnd,
  type CallHead,
  type CallRefusalReason,
  type CallTarget,
  CONNECTION_LIMIT,
  type GatewayEmit,
} from "./messages.ts";
import { engineTime, isShort, sharedParts } from "./placement.ts";
import { refuse } from "./refusals.ts";
import type { RegionController } from "./region_controller.ts";
import type { RepeatBudget } from "./repeat_budget.ts";

/** A request with less time than this is not worth a send. */
const LEAST_TIME_MS = 30;
/** A repeat needs this much time left. */
const LEAST_REPEAT_TIME_MS = 150;
/** Refusals by endpoints of one request that are answered by another try. */
const MOST_REJECTIONS = 2;
/** Failed connections of one request. */
const MOST_UNSENT = 4;
/** Part of a request's time that it may wait for a place; beyond it is refused at once. */
const WAIT_PART = 0.4;
/** Part of the objective after which a silent plain endpoint is given up, if the call may repeat. */
const SILENT_PART = 0.5;
/**
 * A running stream has an event every few steps of its engine, half a second at the worst. An engine
 * from which no stream hears anything for so long has gone silent without closing its connections.
 */
const SILENT_ENGINE_MS = 1_500;
/** A caller's call that may not repeat goes on without it for so long. */
const ORPHAN_MS = 5_000;
/** Callers come back in a wave if all are told the same time: this part of it is drawn. */
const RETRY_SPREAD = 0.5;
/** A document, or an entry in the place of a stopping one, is there after a moment. */
const SOON_MS = 300;
/**
 * Endpoints that are gone or full are not back within a moment: callers who return at once are refused
 * again, and have lost their second try.
 */
const LATER_MS = 1_200;
const UINT32_RANGE = 2 ** 32;
/** Output tokens cost an engine this much, in milliseconds, while a full batch shares each step. */
const OUTPUT_TOKEN_MS = 0.15;
/** Work of a call to a plain service, in endpoint milliseconds. */
const PLAIN_WORK_MS = 50;
const FIRST_SERVER_ERROR = 500;

/** What the controller works with. */
export interface CallTools {
  readonly emit: GatewayEmit;
  readonly random: Randomness;
  readonly catalogue: CatalogueView;
  readonly endpoints: EndpointBook;
  readonly regions: RegionController;
  readonly router: CallRouter;
  readonly budget: RepeatBudget;
  readonly cold: ColdAllowance;
  /** Entries that may be alive, this one included. */
  readonly entries: () => number;
  /** Live entries of the region, this one included. */
  readonly regionEntries: () => number;
}

/** Writes the requests. */
export class CallController {
  readonly #tools: CallTools;
  readonly #calls = new Map<RequestId, Call>();
  readonly #attempts = new Map<AttemptId, Call>();
  readonly #queue = new CallQueue();
  #prefixNews: PrefixNews[] = [];
  #lastArrivalAt: Instant | undefined;
  #refusesNew = false;

  constructor(tools: CallTools) {
    this.#tools = tools;
  }

  /** Requests that have no final answer. */
  get active(): number {
    return this.#calls.size;
  }

  get queued(): number {
    return this.#queue.size;
  }

  get lastArrivalAt(): Instant | undefined {
    return this.#lastArrivalAt;
  }

  /** Prefixes that engines were given to read since the last call. */
  takePrefixNews(): PrefixNews[] {
    const news = this.#prefixNews;
    this.#prefixNews = [];
    return news;
  }

  /** From now on requests are refused: the process ends before they would be answered. */
  refuseNew(): void {
    this.#refusesNew = true;
  }

  /** A request has arrived with its whole body. */
  arrive(head: CallHead, now: Instant): void {
    if (this.#refusesNew) {
      return this.#refuseHead(head, "stopping");
    }
    this.#lastArrivalAt = now;
    const { table } = this.#tools.catalogue;
    if (table === undefined) {
      return this.#refuseHead(head, "no_document");
    }
    const route = table.find(head.host, head.target);
    if (route === undefined) {
      return this.#refuseHead(head, "no_route");
    }
    const time = Math.min(head.timeLeft ?? route.timeout, route.timeout);
    const place = hash32(`split ${head.call}`) / UINT32_RANGE;
    const call = new Call(head, {
      route,
      services: orderServices(route.targets, place),
      arrivedAt: now,
      endsAt: after(now, time),
    });
    this.#calls.set(head.id, call);
    this.#meter(call, now);
    this.#place(call, now);
  }

  /** The connection stands: is the request still to be written, and is its endpoint still the right one? */
  commit(id: AttemptId, now: Instant): void {
    const call = this.#attempts.get(id);
    const attempt = call?.attempt;
    if (call === undefined || attempt?.id !== id) {
      return;
    }
    const { state } = attempt;
    const timeLeft = call.endsAt - now;
    const wanted = timeLeft >= LEAST_TIME_MS &&
      (state === undefined || this.#tools.router.stillFits(call, state, now));
    if (!wanted) {
      this.#close(call, "unsent", now);
      this.#place(call, now);
      return;
    }
    this.#noteSent(call, attempt, now);
    this.#tools.emit({
      kind: "proceed",
      attempt: id,
      timeLeft: milliseconds(timeLeft),
    });
  }

  /** The head of an answer. */
  answered(id: AttemptId, answer: CallAnswer, now: Instant): void {
    const call = this.#attempts.get(id);
    const attempt = call?.attempt;
    if (call === undefined || attempt?.id !== id) {
      return;
    }
    attempt.heardAt = now;
    this.#noteLoad(attempt, answer, now);
    if (answer.notRun) {
      return this.#rejected(call, answer, now);
    }
    const failed = answer.status >= FIRST_SERVER_ERROR;
    attempt.state?.health.note(failed ? "failed" : "good", now);
    if (call.phase === "answering") {
      return this.#goOn(call, answer, now);
    }
    if (failed && call.mayRepeat && this.#canTryElsewhere(call, now)) {
      // The shell reads the failure to its end and keeps the connection.
      this.#close(call, "lost", now);
      return this.#place(call, now);
    }
    call.phase = "answering";
    this.#tools.emit({ kind: "forward", attempt: id });
  }

  /** Bytes of an answer's body. */
  progress(
    id: AttemptId,
    lastEventId: string | undefined,
    now: Instant,
  ): void {
    const call = this.#attempts.get(id);
    const attempt = call?.attempt;
    if (call === undefined || attempt?.id !== id) {
      return;
    }
    const first = attempt.state !== undefined && attempt.state.own.prefill > 0;
    attempt.heardAt = now;
    if (attempt.state !== undefined) {
      attempt.state.heardAt = now;
      attempt.state.firstEvent(id, now);
    }
    call.lastEventId = lastEventId ?? call.lastEventId;
    if (first) {
      this.#drain(now);
    }
  }

  /** An attempt is over. */
  ended(id: AttemptId, end: CallEnd, now: Instant): void {
    const call = this.#attempts.get(id);
    const attempt = call?.attempt;
    if (call === undefined || attempt?.id !== id) {
      return;
    }
    if (end.kind === "complete") {
      this.#close(call, "completed", now);
      this.#tools.emit({ kind: "complete", request: call.head.id });
      this.#forget(call);
    } else if (end.kind === "unsent") {
      this.#failedToSend(call, attempt, { detail: end.detail, now });
    } else {
      this.#lost(call, attempt, { detail: end.detail, now });
    }
    this.#drain(now);
  }

  /** The caller has closed its connection. */
  callerGone(id: RequestId, now: Instant): void {
    const call = this.#calls.get(id);
    if (call === undefined) {
      return;
    }
    const running = call.attempt?.sentAt !== undefined;
    if (call.route.kind === "non_idempotent" && running) {
      call.orphaned = true;
      return;
    }
    this.#giveUp(call, now);
    this.#drain(now);
  }

  /** Ends what has run out of time, and leaves endpoints that fell silent. */
  tick(now: Instant): void {
    for (const call of [...this.#calls.values()]) {
      if (call.orphaned) {
        this.#endOrphan(call, now);
      } else if (now >= call.endsAt) {
        this.#expire(call, now);
      } else if (this.#waitedTooLong(call, now)) {
        this.#fail(call, "overloaded", now);
      } else if (call.attempt !== undefined) {
        this.#checkSilence(call, call.attempt, now);
      }
    }
    this.#drain(now);
  }

  #meter({ head, services, route }: Call, now: Instant): void {
    const [service] = services;
    const { regions } = this.#tools;
    const work = head.prompt === undefined
      ? PLAIN_WORK_MS
      : engineTime(head.prompt, DEFAULT_PREFILL_RATE) * regions.readPart +
        head.prompt.outputTokens * OUTPUT_TOKEN_MS;
    regions.arrivals.add(service!, work, now);
    if (head.relay === undefined) {
      regions.traffic.add(route.name, now);
    }
  }

  #place(call: Call, now: Instant): void {
    if (call.attempts >= MOST_ATTEMPTS || call.endsAt - now < LEAST_TIME_MS) {
      return this.#fail(call, "no_endpoint", now);
    }
    const wait = this.#expectedWait();
    const way = this.#tools.router.next(call, wait, now);
    if (way.kind === "wait") {
      this.#await(call, { wait: way.wait + wait, now });
    } else {
      this.#take(call, way, now);
    }
  }

  #take(call: Call, way: Exclude<Way, { kind: "wait" }>, now: Instant): void {
    switch (way.kind) {
      case "endpoint":
        return this.#sendTo(call, way.placement, now);
      case "peer":
        return this.#relay(call, way, now);
      case "none":
        return this.#fail(call, "no_endpoint", now);
    }
  }

  /** Waits for a place, unless that would take too long: then the caller learns it at once. */
  #await(call: Call, { wait, now }: { wait: number; now: Instant }): void {
    const known = call.phase === "waiting" && call.attempts === 0;
    const left = call.endsAt - now;
    if (known && wait > left * WAIT_PART) {
      return this.#fail(call, "overloaded", now, milliseconds(wait));
    }
    if (call.phase === "trying") {
      call.phase = "waiting";
    }
    this.#queue.add(call);
  }

  /** Time until what waits already will have been read. */
  #expectedWait(): number {
    const engines =
      [...this.#tools.endpoints.all()].filter(({ service }) =>
        service?.engine !== undefined
      ).length;
    // The region's other entries have as much waiting: callers choose among them by chance.
    const waiting = this.#queue.tokens * this.#tools.regionEntries();
    return waiting * this.#tools.regions.readPart /
      (DEFAULT_PREFILL_RATE * Math.max(1, engines));
  }

  #drain(now: Instant): void {
    if (this.#queue.size === 0) {
      return;
    }
    // Where one has to wait, those of its kind behind it have to wait too: asking for each would cost
    // more the longer the queue is, and the entry would be late when it has most to do.
    const blocked = new Set<string>();
    for (const call of this.#queue.ordered(now)) {
      const kind = `${call.services[0]} ${isShort(call.head.prompt)}`;
      if (blocked.has(kind)) {
        continue;
      }
      const waited = now - call.arrivedAt;
      const way = this.#tools.router.next(call, waited, now);
      if (way.kind === "wait") {
        blocked.add(kind);
      } else {
        this.#queue.remove(call);
        this.#take(call, way, now);
      }
    }
  }

  #sendTo(call: Call, chosen: Chosen, now: Instant): void {
    const { state, prefill, tokens } = chosen;
    const target = this.#tools.router.targetOf(call, chosen, now);
    const attempt = this.#open(call, { target, state, now });
    state.begin(attempt.id, { prefill, tokens }, now);
    state.health.used(now);
    const { prompt } = call.head;
    if (prompt !== undefined && state.service?.engine !== undefined) {
      const parts = sharedParts(prompt);
      this.#tools.regions.noteReading(prefill, prompt.promptTokens);
      state.prefixes.use(parts);
      this.#prefixNews.push({ endpoint: state.record.id, parts });
    }
    this.#emitSend(call, attempt);
  }

  #relay(
    call: Call,
    { incarnation, address }: Extract<Way, { kind: "peer" }>,
    now: Instant,
  ): void {
    const target: CallTarget = {
      kind: "peer",
      incarnation,
      address,
      sentBefore: call.arrivals,
    };
    this.#emitSend(call, this.#open(call, { target, state: undefined, now }));
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
      sentAt: undefined,
      heardAt: undefined,
    };
    call.attempt = attempt;
    if (call.phase === "waiting") {
      call.phase = "trying";
    }
    call.log.record(id, "prepared");
    this.#attempts.set(id, call);
    return attempt;
  }

  #emitSend(call: Call, { id, target }: OpenAttempt): void {
    this.#tools.emit({
      kind: "send",
      attempt: {
        id,
        request: call.head.id,
        target,
        streaming: call.route.kind === "stream",
        mostIdle: milliseconds(mostIdle(call)),
        resumeAfter: call.lastEventId,
      },
    });
  }

  #noteSent(call: Call, attempt: OpenAttempt, now: Instant): void {
    const { state, id } = attempt;
    attempt.sentAt = now;
    call.log.record(id, "sent");
    if (state !== undefined) {
      call.tried.add(state.record.id);
      if (call.arrivals === 0) {
        this.#tools.budget.noteFirst(state.record.service, now);
      }
      if (state.isCold(now)) {
        this.#tools.cold.spend(state.record.id, now);
      }
    }
    call.sent += attemptsOf(call, attempt);
  }

  #noteLoad({ state }: OpenAttempt, { load }: CallAnswer, now: Instant): void {
    if (state !== undefined) {
      state.heardAt = now;
      state.load = load ?? state.load;
      state.loadAt = load === undefined ? state.loadAt : now;
    }
  }

  /** The endpoint, or a peer, vouches that the request did not run. */
  #rejected(call: Call, answer: CallAnswer, now: Instant): void {
    const { state } = call.attempt!;
    state?.health.note("failed", now);
    if (answer.status === MISDIRECTED) {
      state?.health.suspect(now);
    }
    call.sent -= call.attempt!.state === undefined
      ? attemptsOf(call, call.attempt!)
      : 0;
    this.#close(call, "refused", now);
    call.rejections++;
    if (call.phase === "answering") {
      return this.#breakOff(call);
    }
    if (answer.status === NOT_FOUND) {
      return this.#fail(call, "no_route", now);
    }
    const again = call.rejections <= MOST_REJECTIONS &&
      this.#spendRepeat(call, now);
    if (again) {
      return this.#place(call, now);
    }
    this.#fail(call, "rejected", now, answer.retryAfter);
  }

  /** An interrupted stream goes on at another endpoint, under the head of its first answer. */
  #goOn(call: Call, { status }: CallAnswer, now: Instant): void {
    const { id } = call.attempt!;
    if (status !== OK) {
      this.#leave(call, now);
      return this.#breakOffOrRetry(call, now);
    }
    this.#tools.emit({ kind: "goOn", attempt: id });
  }

  #failedToSend(
    call: Call,
    { state }: OpenAttempt,
    { detail, now }: { detail: string; now: Instant },
  ): void {
    if (detail !== CONNECTION_LIMIT) {
      state?.health.note("broken", now);
    }
    if (state !== undefined) {
      call.tried.add(state.record.id);
    }
    this.#close(call, "unsent", now);
    this.#log("Attempt was not sent.", call, { detail });
    call.unsent++;
    if (call.orphaned || call.unsent > MOST_UNSENT) {
      return this.#fail(call, "no_endpoint", now);
    }
    this.#place(call, now);
  }

  #lost(
    call: Call,
    { state }: OpenAttempt,
    { detail, now }: { detail: string; now: Instant },
  ): void {
    state?.health.note("broken", now);
    this.#close(call, "lost", now);
    this.#log("Attempt was lost.", call, { detail });
    if (call.orphaned) {
      return this.#forget(call);
    }
    if (call.phase === "answering") {
      return this.#breakOffOrRetry(call, now);
    }
    if (!call.mayRepeat || !this.#tryElsewhere(call, now)) {
      this.#fail(call, "endpoint_failed", now);
    }
  }

  /** A stream that has begun goes on elsewhere where its route allows it, or ends visibly broken. */
  #breakOffOrRetry(call: Call, now: Instant): void {
    const resumable = call.route.resumable && call.lastEventId !== undefined;
    if (!resumable || !this.#tryElsewhere(call, now)) {
      this.#breakOff(call);
    }
  }

  /** Leaves the attempt under way for another endpoint, if there is one and the budget allows it. */
  #tryElsewhere(call: Call, now: Instant): boolean {
    if (!this.#canTryElsewhere(call, now)) {
      return false;
    }
    this.#leave(call, now);
    this.#place(call, now);
    return true;
  }

  /** Takes a repeat of the budget, if there is another endpoint to send to. */
  #canTryElsewhere(call: Call, now: Instant): boolean {
    const allowed = call.endsAt - now >= LEAST_REPEAT_TIME_MS &&
      call.arrivals < call.route.attempts && call.attempts < MOST_ATTEMPTS;
    const way = allowed ? this.#tools.router.next(call, 0, now) : undefined;
    const possible = way?.kind === "endpoint" || way?.kind === "peer";
    return possible && this.#spendRepeat(call, now);
  }

  /** Gives up the attempt under way, if there still is one. */
  #leave(call: Call, now: Instant): void {
    if (call.attempt !== undefined) {
      this.#tools.emit({ kind: "abort", attempt: call.attempt.id });
      this.#close(call, "lost", now);
    }
  }

  #spendRepeat(call: Call, now: Instant): boolean {
    const [service] = call.services;
    const entries = this.#tools.entries();
    return this.#tools.budget.spend(service!, { entries }, now);
  }

  /** Waiting on would end in a refusal too, only later: the caller learns it while it can still act. */
  #waitedTooLong(call: Call, now: Instant): boolean {
    const time = call.endsAt - call.arrivedAt;
    return call.phase === "waiting" && call.attempts === 0 &&
      now - call.arrivedAt > time * WAIT_PART;
  }

  #checkSilence(call: Call, attempt: OpenAttempt, now: Instant): void {
    const { state, sentAt } = attempt;
    if (state === undefined || sentAt === undefined || !call.mayRepeat) {
      return;
    }
    const engine = state.service?.engine !== undefined;
    const quiet = now - Math.max(attempt.heardAt ?? sentAt, sentAt);
    const limit = engine
      ? SILENT_ENGINE_MS
      : call.route.objective * SILENT_PART;
    const silent = engine
      ? quiet > limit && now - (state.heardAt ?? sentAt) > limit
      : attempt.heardAt === undefined && quiet > limit;
    if (silent && this.#tryElsewhere(call, now)) {
      this.#log("Endpoint is silent.", call, { endpoint: state.record.id });
      state.health.note("broken", now);
    }
  }

  #expire(call: Call, now: Instant): void {
    if (call.attempt !== undefined) {
      this.#tools.emit({ kind: "abort", attempt: call.attempt.id });
      this.#close(
        call,
        call.attempt.sentAt === undefined ? "unsent" : "lost",
        now,
      );
    }
    if (call.phase === "answering") {
      return this.#breakOff(call);
    }
    this.#fail(call, "deadline", now);
  }

  #endOrphan(call: Call, now: Instant): void {
    if (now - call.endsAt >= ORPHAN_MS) {
      this.#giveUp(call, now);
    }
  }

  #giveUp(call: Call, now: Instant): void {
    this.#leave(call, now);
    this.#forget(call);
  }

  /** The attempt under way is over, one way or another. */
  #close(
    call: Call,
    state: "unsent" | "lost" | "refused" | "completed",
    now: Instant,
  ): void {
    const { attempt } = call;
    if (attempt !== undefined) {
      call.log.record(attempt.id, state);
      attempt.state?.end(attempt.id, now);
      this.#attempts.delete(attempt.id);
      call.attempt = undefined;
    }
  }

  #breakOff(call: Call): void {
    this.#log("Answer is broken off.", call, {});
    this.#tools.emit({ kind: "breakOff", request: call.head.id });
    this.#forget(call);
  }

  /** Ends a request without an answer of an endpoint. The verdict comes from its attempts alone. */
  #fail(
    call: Call,
    reason: CallRefusalReason,
    now: Instant,
    wait?: Milliseconds,
  ): void {
    if (call.phase === "answering") {
      return this.#breakOff(call);
    }
    const verdict = call.log.verdict();
    const refusal = refuse(reason, {
      verdict,
      retryAfter: this.#spread(Math.max(LATER_MS, wait ?? 0)),
    });
    this.#log("Request is refused.", call, {
      reason,
      verdict: verdict.kind,
      status: refusal.status,
      afterMs: Math.round(now - call.arrivedAt),
    });
    this.#tools.emit({ kind: "refuse", request: call.head.id, refusal });
    this.#forget(call);
  }

  #refuseHead({ id }: CallHead, reason: CallRefusalReason): void {
    const refusal = refuse(reason, {
      verdict: { kind: "not_run" },
      retryAfter: this.#spread(SOON_MS),
    });
    this.#tools.emit({ kind: "refuse", request: id, refusal });
  }

  #spread(wait: number): Milliseconds {
    const drawn = 1 + RETRY_SPREAD * (this.#tools.random.next() - 0.5) * 2;
    return milliseconds(wait * drawn);
  }

  #forget(call: Call): void {
    this.#queue.remove(call);
    this.#calls.delete(call.head.id);
  }

  #log(
    text: string,
    { head, route, attempts }: Call,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.#tools.emit({
      kind: "log",
      part: "call",
      text,
      fields: { call: head.call, route: route.name, attempts, ...fields },
    });
  }
}

/**
 * A kept connection may be dead without anybody having been told; a request that is written to it may
 * then not be repeated, though it did not run. The longer it was idle, the likelier.
 */
function mostIdle({ mayRepeat, route }: Call): number {
  if (mayRepeat) {
    return Infinity;
  }
  return route.kind === "stream" ? STREAM_IDLE_MS : 0;
}

/**
 * A peer may use all attempts of a request that is passed on to it, and its connection may break before
 * it tells. Counted as one, the request could run at more endpoints than its route allows.
 */
function attemptsOf({ route }: Call, { target }: OpenAttempt): number {
  return target.kind === "peer" ? route.attempts : 1;
}

const STREAM_IDLE_MS = 1_000;
const OK = 200;
const NOT_FOUND = 404;
const MISDIRECTED = 421;
