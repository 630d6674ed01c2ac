/**
 * The life of each request: placed, sent, answered, repeated or refused.
 *
 * @module
 */
import type { CustomerLimits } from "../customers/index.ts";
import type { EndpointTerms } from "../endpoint_terms/index.ts";
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
import type { ListenedTimeView } from "../listening/index.ts";
import { ArrivalHold, heldFrom } from "./arrival_hold.ts";
import { Call, type OpenAttempt } from "./call.ts";
import { type AdmittedCall, CallAdmission } from "./call_admission.ts";
import { CallAttempts, FIRST_SERVER_ERROR } from "./call_attempts.ts";
import { CallEnds } from "./call_ends.ts";
import { CallPlacer, LEAST_TIME_MS } from "./call_placer.ts";
import { CallRecovery } from "./call_recovery.ts";
import { type CallRouter } from "./call_router.ts";
import { orderServices } from "./service_order.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { ColdAllowance } from "./cold_allowance.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import {
  type CallAnswer,
  type CallEnd,
  type CallHead,
  type GatewayEmit,
  type GatewayEvent,
} from "./messages.ts";
import type { QuarantineController } from "../quarantine/index.ts";
import type { RegionController } from "./region_controller.ts";
import type { RepeatBudget } from "./repeat_budget.ts";

/** A caller's call that may not repeat goes on without it for so long. */
const ORPHAN_MS = 5_000;
const UINT32_RANGE = 2 ** 32;

/** What the controller works with. */
export interface CallTools {
  readonly emit: GatewayEmit;
  readonly random: Randomness;
  readonly catalogue: CatalogueView;
  readonly endpoints: EndpointRegistry;
  readonly regions: RegionController;
  readonly router: CallRouter;
  readonly budget: RepeatBudget;
  readonly cold: ColdAllowance;
  readonly quarantine: QuarantineController;
  readonly terms: EndpointTerms;
  readonly limits: CustomerLimits;
  /** Age of the document from which on keys are in doubt, `undefined` where they never are. */
  readonly keyLifetime: () => Milliseconds | undefined;
  readonly listened: ListenedTimeView;
  /** Entries that may be alive, this one included. */
  readonly entries: () => number;
  /** Live entries of the region, this one included. */
  readonly regionEntries: () => number;
}

/** Writes the requests. */
export class CallController {
  readonly #tools: CallTools;
  readonly #calls = new Map<RequestId, Call>();
  readonly #attempts: CallAttempts;
  readonly #ends: CallEnds;
  readonly #placer: CallPlacer;
  readonly #recovery: CallRecovery;
  #lastArrivalAt: Instant | undefined;
  #refusesNew = false;
  readonly #hold = new ArrivalHold();
  readonly #admission: CallAdmission;

  constructor(tools: CallTools) {
    this.#tools = tools;
    this.#attempts = new CallAttempts(tools);
    const forget = (call: Call): void => this.#forget(call);
    this.#ends = new CallEnds({
      emit: tools.emit,
      random: tools.random,
      forget,
      spared: (call, now) => this.#admission.giveBack(call, now),
    });
    this.#admission = new CallAdmission({
      ...tools,
      ends: this.#ends,
      begin: (admitted, now) => this.#begin(admitted, now),
    });
    const parts = { ...tools, attempts: this.#attempts, ends: this.#ends };
    this.#placer = new CallPlacer(parts);
    this.#recovery = new CallRecovery({
      ...parts,
      placer: this.#placer,
      forget,
    });
  }

  /** Prefixes that engines were given to read since the last call. */
  takePrefixNews(): PrefixNews[] {
    return this.#attempts.takePrefixNews();
  }

  /** Requests that have no final answer. */
  get active(): number {
    return this.#calls.size + this.#hold.size + this.#admission.size;
  }

  get queued(): number {
    return this.#placer.queue.size;
  }

  /** Streams that went on elsewhere since the start. */
  get resumed(): number {
    return this.#recovery.resumed;
  }

  /** Requests without a route since the start. */
  get unrouted(): number {
    return this.#ends.unrouted.count;
  }

  get lastArrivalAt(): Instant | undefined {
    return this.#lastArrivalAt;
  }

  /** From now on requests are refused: the process ends before they would be answered. */
  refuseNew(): void {
    this.#refusesNew = true;
  }

  /** A request has arrived with its whole body. */
  arrive(head: CallHead, now: Instant): void {
    if (this.#refusesNew) {
      return this.#ends.refuseHead(head, "stopping");
    }
    this.#lastArrivalAt = now;
    const { catalogue } = this.#tools;
    const { table, failing } = catalogue;
    if (table !== undefined && !catalogue.isOld(now)) {
      return this.#admission.judge(table, heldFrom(head, now), now);
    }
    if (failing) {
      return this.#ends.refuseHead(head, "no_document");
    }
    this.#hold.add(head, now);
  }

  #begin(
    { head, arrivedAt, route, customer, cost }: AdmittedCall,
    now: Instant,
  ): void {
    const time = Math.min(head.timeLeft ?? route.timeout, route.timeout);
    const place = hash32(`split ${head.call}`) / UINT32_RANGE;
    const call = new Call(head, {
      route,
      customer,
      services: orderServices(route.targets, place),
      arrivedAt,
      endsAt: after(arrivedAt, time),
    });
    this.#calls.set(head.id, call);
    call.charged = cost;
    this.#meter(call, now);
    this.#placer.place(call, now);
  }

  /** The connection stands: is the request still to be written, and is its endpoint still the right one? */
  commit(id: AttemptId, now: Instant): void {
    const found = this.#attempts.find(id);
    if (found === undefined) {
      return;
    }
    const { call, attempt } = found;
    const { state } = attempt;
    const timeLeft = call.endsAt - now;
    const wanted = timeLeft >= LEAST_TIME_MS &&
      (state === undefined || this.#tools.router.stillFits(call, state, now));
    if (!wanted) {
      this.#attempts.close(call, "unsent", now);
      this.#placer.place(call, now);
      return;
    }
    if (!this.#placer.maySend(call, now)) {
      return;
    }
    if (!this.#isCovered(attempt, now)) {
      this.#attempts.close(call, "unsent", now);
      this.#placer.place(call, now);
      return;
    }
    this.#attempts.noteSent(call, attempt, now);
    this.#tools.emit({
      kind: "proceed",
      attempt: id,
      timeLeft: milliseconds(timeLeft),
    });
  }

  /** The last look at an endpoint's limit: no request reaches it by another way. */
  #isCovered({ state, permit }: OpenAttempt, now: Instant): boolean {
    return state === undefined ||
      this.#tools.terms.limits.covers(state.record, permit, now);
  }

  /** The head of an answer. */
  answered(id: AttemptId, answer: CallAnswer, now: Instant): void {
    const found = this.#attempts.find(id);
    if (found === undefined) {
      return;
    }
    const { call, attempt } = found;
    attempt.heardAt = now;
    this.#attempts.noteHead(call, attempt, { answer, now });
    if (answer.notRun) {
      return this.#recovery.rejected(call, answer, now);
    }
    const failed = answer.status >= FIRST_SERVER_ERROR;
    attempt.state?.health.note(failed ? "failed" : "good", now);
    if (call.phase === "answering") {
      return this.#recovery.goOn(call, answer, now);
    }
    if (failed && call.mayRepeat && this.#recovery.canTryElsewhere(call, now)) {
      // The shell reads the failure to its end and keeps the connection.
      attempt.failed = true;
      this.#attempts.close(call, "lost", now);
      return this.#placer.place(call, now);
    }
    call.phase = "answering";
    call.events = answer.events;
    attempt.failed = failed;
    this.#tools.emit({ kind: "forward", attempt: id });
  }

  /** Bytes of an answer's body. */
  progress(
    id: AttemptId,
    news: Omit<Extract<GatewayEvent, { kind: "progress" }>, "kind" | "attempt">,
    now: Instant,
  ): void {
    const found = this.#attempts.find(id);
    if (found === undefined) {
      return;
    }
    const { call, attempt } = found;
    const first = attempt.state !== undefined && attempt.state.own.prefill > 0;
    attempt.heardAt = now;
    if (attempt.state !== undefined) {
      attempt.state.heardAt = now;
    }
    if (call.phase !== "answering") {
      // Kept until it is whole, so that nothing has come for the caller yet.
      return;
    }
    attempt.unfinished = news.unfinished;
    call.trace.heard(now);
    attempt.state?.firstEvent(id, now);
    call.position.passed(news);
    if (first) {
      this.#placer.drain(now);
    }
  }

  /** Its caller has no room, or has room again. */
  held(id: AttemptId, held: boolean, now: Instant): void {
    const found = this.#attempts.find(id);
    if (found !== undefined) {
      this.#attempts.noteHeld(found.call, found.attempt, { held, now });
    }
  }

  /** An attempt is over. */
  ended(id: AttemptId, end: CallEnd, now: Instant): void {
    const found = this.#attempts.find(id);
    if (found === undefined) {
      return;
    }
    const { call, attempt } = found;
    if (end.kind === "complete") {
      this.#attempts.close(call, "completed", now);
      this.#ends.complete(call, attempt.failed, now);
    } else if (end.kind === "unsent") {
      this.#recovery.failedToSend(call, attempt, { ...end, now });
    } else {
      this.#recovery.lost(call, attempt, { detail: end.detail, now });
    }
    this.#placer.drain(now);
  }

  /** The caller has closed its connection. */
  callerGone(id: RequestId, now: Instant): void {
    const call = this.#calls.get(id);
    const held = this.#hold.remove(id) || this.#admission.remove(id);
    if (held || call === undefined) {
      return;
    }
    const running = call.attempt?.sentAt !== undefined;
    if (call.route.kind === "non_idempotent" && running) {
      call.orphaned = true;
      return;
    }
    this.#attempts.leave(call, now);
    this.#ends.left(call, now);
    this.#placer.drain(now);
  }

  /** Ends what has run out of time, and leaves endpoints that fell silent. */
  tick(now: Instant): void {
    this.releaseHeld(now);
    for (const call of [...this.#calls.values()]) {
      if (call.orphaned) {
        this.#endOrphan(call, now);
      } else if (now >= call.endsAt) {
        this.#expire(call, now);
      } else if (this.#placer.waitedTooLong(call, now)) {
        this.#ends.fail(call, "overloaded", now);
      } else if (call.attempt !== undefined) {
        this.#recovery.checkEndpoint(call, call.attempt, now);
      }
    }
    this.#placer.drain(now);
  }

  /** Goes on with what was held, once the picture is there, or will not be. */
  releaseHeld(now: Instant): void {
    this.#admission.judgeAgain(now);
    if (this.#hold.size === 0) {
      return;
    }
    const { catalogue } = this.#tools;
    const { table, failing } = catalogue;
    const ready = table !== undefined && !catalogue.isOld(now);
    const over = ready || failing
      ? this.#hold.takeAll()
      : this.#hold.takeOverdue(now);
    // An old picture that nobody renews is better than none.
    over.forEach((held) =>
      table === undefined
        ? this.#ends.refuseHead(held.head, "no_document")
        : this.#admission.judge(table, held, now)
    );
  }

  /** Permits of limited endpoints have come. */
  notePermits(now: Instant): void {
    this.#placer.drain(now);
  }

  /** What others let in was told. */
  noteSpending(now: Instant): void {
    this.#admission.judgeAgain(now);
  }

  /** Ends every request: the process ends. What its callers had not been told they would never learn. */
  endAll(now: Instant): void {
    this.refuseNew();
    const held = [...this.#hold.takeAll(), ...this.#admission.takeAll()];
    held.forEach(({ head }) => this.#ends.refuseHead(head, "stopping"));
    for (const call of [...this.#calls.values()]) {
      this.#attempts.leave(call, now);
      if (call.orphaned) {
        this.#forget(call);
      } else {
        this.#ends.fail(call, "stopping", now);
      }
    }
  }

  #meter({ head, services, route }: Call, now: Instant): void {
    const [service] = services;
    const { regions } = this.#tools;
    regions.noteArrival(service!, head.prompt, now);
    if (head.relay === undefined) {
      regions.traffic.add(route.name, now);
    }
  }

  #expire(call: Call, now: Instant): void {
    if (call.attempt !== undefined) {
      this.#tools.emit({ kind: "abort", attempt: call.attempt.id });
      this.#attempts.close(
        call,
        call.attempt.sentAt === undefined ? "unsent" : "lost",
        now,
      );
    }
    if (call.phase === "answering") {
      const cause = call.trace.cause(call, false, now) ?? "starved";
      return this.#ends.breakOff(call, cause, now);
    }
    this.#ends.fail(call, "deadline", now);
  }

  #endOrphan(call: Call, now: Instant): void {
    if (now - call.endsAt >= ORPHAN_MS) {
      this.#giveUp(call, now);
    }
  }

  #giveUp(call: Call, now: Instant): void {
    this.#attempts.leave(call, now);
    this.#forget(call);
  }

  #forget(call: Call): void {
    this.#placer.queue.remove(call);
    this.#calls.delete(call.head.id);
  }
}
