/**
 * What becomes of a request whose attempt brought no answer.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";
import type { ListenedTimeView } from "../listening/index.ts";
import type { Call, OpenAttempt } from "./call.ts";
import { attemptsOf, type CallAttempts, MISDIRECTED } from "./call_attempts.ts";
import type { CallEnds } from "./call_ends.ts";
import type { CallPlacer } from "./call_placer.ts";
import { type CallRouter, MOST_ATTEMPTS } from "./call_router.ts";
import {
  type CallAnswer,
  CONNECTION_LIMIT,
  type GatewayEmit,
} from "./messages.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { QuarantineController } from "../quarantine/index.ts";
import type { RepeatBudget } from "./repeat_budget.ts";

/** A repeat needs this much time left. */
const LEAST_REPEAT_TIME_MS = 150;
/** Refusals by endpoints of one request that are answered by another try. */
const MOST_REJECTIONS = 2;
/** Failed connections of one request. */
const MOST_UNSENT = 4;
/** Part of the objective after which a silent plain endpoint is given up, if the call may repeat. */
const SILENT_PART = 0.5;
/**
 * A running stream has an event every few steps of its engine, half a second at the worst. An engine
 * from which no stream hears anything for so long has gone silent without closing its connections.
 */
const SILENT_ENGINE_MS = 1_500;
const NOTHING_AHEAD = { wait: 0, turns: 0 };
const OK = 200;
const NOT_FOUND = 404;

/** What recovery works with. */
export interface RecoveryTools {
  readonly emit: GatewayEmit;
  readonly attempts: CallAttempts;
  readonly ends: CallEnds;
  readonly placer: CallPlacer;
  readonly router: CallRouter;
  readonly endpoints: EndpointRegistry;
  readonly budget: RepeatBudget;
  readonly quarantine: QuarantineController;
  readonly listened: ListenedTimeView;
  /** Entries that may be alive, this one included. */
  readonly entries: () => number;
  /** The request is over, and nobody is told. */
  readonly forget: (call: Call) => void;
}

/** Repeats where route, attempts and budget allow it; otherwise the request ends. */
export class CallRecovery {
  /** Streams that went on elsewhere since the start. */
  resumed = 0;
  readonly #tools: RecoveryTools;

  constructor(tools: RecoveryTools) {
    this.#tools = tools;
  }

  /** The endpoint, or a peer, vouches that the request did not run. */
  rejected(call: Call, answer: CallAnswer, now: Instant): void {
    const { state } = call.attempt!;
    const deferred = answer.rest?.kind === "value";
    state?.health.note(deferred ? "deferred" : "failed", now);
    if (answer.status === MISDIRECTED && state !== undefined) {
      state.health.suspect(now);
      // Another process has the address: the endpoint that was meant is gone.
      this.#tools.quarantine.refused(state.record);
    }
    const { target } = call.attempt!;
    const declined = target.kind === "peer" && answer.offered === 0;
    if (target.kind === "peer") {
      call.sent -= attemptsOf(call, call.attempt!);
      call.offered += answer.offered ?? 1;
    }
    call.trace.interrupted(call.attempt!, `Refused with ${answer.status}`);
    this.#tools.attempts.close(call, "refused", now);
    if (declined && !this.#tools.quarantine.isSuspect(call.head.fingerprint)) {
      this.#tools.router.noteDeclined(call, target.region, now);
    }
    if (declined && call.phase !== "answering") {
      // No endpoint got it, so that another way is no repeat.
      return this.#tools.placer.place(call, now);
    }
    call.rejections++;
    if (call.phase === "answering") {
      return this.#turnedAway(call, now);
    }
    if (answer.status === NOT_FOUND) {
      return this.#tools.ends.fail(call, "no_route", now);
    }
    const again = call.rejections <= MOST_REJECTIONS &&
      this.#spendRepeat(call, now);
    if (again) {
      return this.#tools.placer.place(call, now);
    }
    this.#tools.ends.fail(call, "rejected", now, answer.retryAfter);
  }

  /** The rest of a stream ran nowhere: broken off, its caller would lose time and come back for it. */
  #turnedAway(call: Call, now: Instant): void {
    if (call.rejections > MOST_REJECTIONS) {
      return this.#tools.ends.breakOff(call, "endpoint_lost", now);
    }
    this.#breakOffOrRetry(call, now);
  }

  /** An interrupted stream goes on at another endpoint, under the head of its first answer. */
  goOn(call: Call, { status, events }: CallAnswer, now: Instant): void {
    const { id } = call.attempt!;
    if (status !== OK || !events) {
      call.trace.interrupted(call.attempt!, `Answered ${status}`);
      this.#tools.attempts.leave(call, now);
      return this.#breakOffOrRetry(call, now);
    }
    this.resumed++;
    this.#tools.ends.log("Stream goes on elsewhere.", call, {
      afterEvent: call.position.lastId,
      ...call.trace.interruption(),
    });
    this.#tools.emit({ kind: "goOn", attempt: id });
  }

  /** No byte was written. */
  failedToSend(
    call: Call,
    { state }: OpenAttempt,
    { detail, refused, now }: {
      detail: string;
      refused: boolean;
      now: Instant;
    },
  ): void {
    if (detail !== CONNECTION_LIMIT) {
      state?.health.note("unreached", now);
    }
    if (state !== undefined && refused) {
      this.#tools.quarantine.refused(state.record);
    }
    if (state !== undefined) {
      call.tried.add(state.record.id);
      call.unreached.add(state.record.id);
    }
    this.#tools.attempts.close(call, "unsent", now);
    this.#tools.ends.log("Attempt was not sent.", call, { detail });
    call.unsent++;
    if (call.orphaned || call.unsent > MOST_UNSENT) {
      return this.#tools.ends.fail(call, "no_endpoint", now);
    }
    this.#tools.placer.place(call, now);
  }

  /** Bytes were written, and no whole answer came. */
  lost(
    call: Call,
    attempt: OpenAttempt,
    { detail, now }: { detail: string; now: Instant },
  ): void {
    const { state } = attempt;
    state?.health.note("broken", now);
    call.trace.interrupted(attempt, detail);
    this.#tools.attempts.close(call, "lost", now);
    if (state !== undefined) {
      this.#tools.quarantine.broken(state, now);
    }
    this.#tools.ends.log("Attempt was lost.", call, { detail });
    if (call.orphaned) {
      return this.#tools.forget(call);
    }
    if (call.phase === "answering") {
      return this.#breakOffOrRetry(call, now);
    }
    if (!call.mayRepeat || !this.#tryElsewhere(call, now)) {
      this.#tools.ends.fail(call, "endpoint_failed", now);
    }
  }

  /** Looks after an attempt from which no news came. */
  checkEndpoint(call: Call, attempt: OpenAttempt, now: Instant): void {
    const { state } = attempt;
    if (state !== undefined && this.#tools.endpoints.hasStartedAgain(state)) {
      this.#startedAgain(call, attempt, now);
    } else {
      this.#checkSilence(call, attempt, now);
    }
  }

  /**
   * An endpoint that starts again under its id knows nothing of what it ran. Where its connections go
   * silent instead of breaking, callers would wait for their deadline; one notices by requests without
   * an answer at an endpoint that serves others.
   */
  #startedAgain(call: Call, attempt: OpenAttempt, now: Instant): void {
    if (attempt.sentAt !== undefined) {
      this.#tools.emit({ kind: "abort", attempt: attempt.id });
      this.lost(call, attempt, { detail: "Endpoint started again", now });
    }
  }

  /** Leaves an endpoint from which nothing comes. */
  #checkSilence(call: Call, attempt: OpenAttempt, now: Instant): void {
    const { state, sentAt, heldSince } = attempt;
    if (state === undefined || sentAt === undefined || !call.mayRepeat) {
      return;
    }
    if (heldSince !== undefined) {
      // Nothing is heard because nothing is read: a slow caller would have its stream run again.
      return;
    }
    const engine = state.service?.engine !== undefined;
    // What came while the process stood still lies in its sockets: only time of listening is silence.
    const { listened } = this.#tools;
    const quiet = listened.since(attempt.heardAt ?? sentAt, now);
    const limit = engine
      ? SILENT_ENGINE_MS
      : call.route.objective * SILENT_PART;
    const silent = engine
      ? quiet > limit && listened.since(state.heardAt ?? sentAt, now) > limit
      : attempt.heardAt === undefined && quiet > limit;
    if (!silent) {
      return;
    }
    call.trace.interrupted(attempt, "Silent");
    if (this.#tryElsewhere(call, now)) {
      this.#tools.ends.log("Endpoint is silent.", call, {
        endpoint: state.record.id,
      });
      state.health.note("broken", now);
    }
  }

  /** Takes a repeat of the budget, if there is another endpoint to send to. */
  canTryElsewhere(call: Call, now: Instant): boolean {
    const allowed = call.endsAt - now >= LEAST_REPEAT_TIME_MS &&
      call.arrivals < call.route.attempts && call.attempts < MOST_ATTEMPTS &&
      !this.#tools.quarantine.isSuspect(call.head.fingerprint);
    const way = allowed
      ? this.#tools.router.next(call, NOTHING_AHEAD, now)
      : undefined;
    const possible = way?.kind === "endpoint" || way?.kind === "peer";
    return possible && this.#spendRepeat(call, now);
  }

  /** A stream that has begun goes on elsewhere where its route allows it, or ends visibly broken. */
  #breakOffOrRetry(call: Call, now: Instant): void {
    if (!this.#tryElsewhere(call, now)) {
      this.#tools.ends.breakOff(call, "endpoint_lost", now);
    }
  }

  /** Leaves the attempt under way for another endpoint, if there is one and the budget allows it. */
  #tryElsewhere(call: Call, now: Instant): boolean {
    // What its caller has can't be followed by what another endpoint would send: pieces would come twice.
    const fixed = call.phase === "answering" && !call.resumable;
    if (fixed || !this.canTryElsewhere(call, now)) {
      return false;
    }
    this.#tools.attempts.leave(call, now);
    this.#tools.placer.place(call, now);
    return true;
  }

  #spendRepeat(call: Call, now: Instant): boolean {
    const [service] = call.services;
    const entries = this.#tools.entries();
    return this.#tools.budget.spend(service!, { entries }, now);
  }
}
