/**
 * Handling of attempts that failed, were refused or went silent.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";
import type { StallAdjustedClockView } from "../listening/index.ts";
import type { RetryKind } from "../retries/index.ts";
import { isSameOrigin } from "../stream_origins/index.ts";
import type { Call, OpenAttempt } from "./call.ts";
import {
  type CallAttempts,
  countAttempts,
  MISDIRECTED_REQUEST,
} from "./call_attempts.ts";
import type { CallRetries } from "./call_retries.ts";
import type { CallResumptions } from "./call_resumptions.ts";
import type { CallOutcomes } from "./call_outcomes.ts";
import type { CallPlacer } from "./call_placer.ts";
import { type CallRouter, MAX_ATTEMPTS } from "./call_router.ts";
import {
  type CallAnswer,
  CONNECTION_LIMIT_REACHED,
  type GatewayEmit,
} from "./messages.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { QuarantineController } from "../quarantine/index.ts";

/** A retry is only made with at least this much time left. */
const MIN_RETRY_TIME_MS = 150;
/** Number of refusals of one request that are followed by another attempt. */
const MAX_REJECTIONS = 2;
/** Number of failed connections of one request that are followed by another attempt. */
const MAX_FAILED_CONNECTIONS = 4;
/** Fraction of the objective after which a silent plain endpoint is abandoned, if the request may be retried. */
const MAX_SILENCE_FRACTION = 0.5;
/**
 * Time after which an engine counts as silent if none of its streams received anything. A running stream has an
 * event every few engine steps, every half second at worst. An engine that is silent for longer has stopped
 * without closing its connections.
 */
const MAX_ENGINE_SILENCE_MS = 1_500;
const NOTHING_AHEAD = { wait: 0, turns: 0 };
const OK = 200;
const BAD_REQUEST = 400;
const NOT_FOUND = 404;

/** Dependencies of `CallRecovery`. */
export interface RecoveryDependencies {
  readonly emit: GatewayEmit;
  readonly attempts: CallAttempts;
  readonly outcomes: CallOutcomes;
  readonly placer: CallPlacer;
  readonly router: CallRouter;
  readonly endpoints: EndpointRegistry;
  readonly retries: CallRetries;
  readonly quarantine: QuarantineController;
  readonly resumptions: CallResumptions;
  readonly clock: StallAdjustedClockView;
  /** Removes a request that is over without sending anything to its caller. */
  readonly forget: (call: Call) => void;
}

/** Retries a request where its route, its attempts and the budget allow it, and ends it otherwise. */
export class CallRecovery {
  /** Number of streams that were resumed at another endpoint since the start. */
  resumedStreams = 0;
  readonly #deps: RecoveryDependencies;

  constructor(deps: RecoveryDependencies) {
    this.#deps = deps;
  }

  /** Handles a refusal by an endpoint or a peer that guarantees that the request did not run. */
  rejected(call: Call, answer: CallAnswer, now: Instant): void {
    const attempt = call.attempt!;
    const { state, target } = attempt;
    const deferred = answer.rest?.kind === "value";
    state?.health.recordOutcome(deferred ? "deferred" : "failed", now);
    if (answer.status === MISDIRECTED_REQUEST && state !== undefined) {
      state.health.suspect(now);
      // Another process uses the address, so the intended endpoint has ended.
      this.#deps.quarantine.notePortClosed(state.record);
    }
    const isUnsupported = this.isUnsupported(call, answer);
    const declined = target.kind === "peer" &&
      (answer.offered === 0 || isUnsupported);
    if (target.kind === "peer") {
      call.sentAttempts -= countAttempts(call, call.attempt!);
      call.offered += answer.offered ?? 1;
    }
    call.trace.noteInterrupted(call.attempt!, `Refused with ${answer.status}`);
    this.#deps.attempts.close(call, "refused", now);
    if (call.orphaned) {
      return this.#deps.forget(call);
    }
    if (isUnsupported && target.kind === "peer") {
      this.#deps.router.noteUnsupported(target.incarnation);
    } else if (
      declined && !this.#deps.quarantine.isSuspect(call.head.fingerprint, now)
    ) {
      this.#deps.router.noteDeclined(call, target.region, now);
    }
    if (declined) {
      this.#deps.retries.returnRetry(call, attempt);
    }
    if (declined && call.phase !== "answering") {
      // No endpoint received the request, so sending it elsewhere does not count as a retry.
      return this.#deps.placer.place(call, now);
    }
    call.rejections++;
    if (call.phase === "answering") {
      return this.#retryRefusedResume(call, now);
    }
    if (answer.status === NOT_FOUND) {
      return this.#deps.outcomes.fail(call, "no_route", now);
    }
    const refuse = (at: Instant): void =>
      this.#deps.outcomes.fail(call, "rejected", at, answer.retryAfter);
    if (call.rejections > MAX_REJECTIONS) {
      return refuse(now);
    }
    this.#retryOr(refuse, { call, kind: "rejected" }, now);
  }

  /** Retries a refused resumption: with a broken stream, the caller would lose time and request it again. */
  #retryRefusedResume(call: Call, now: Instant): void {
    if (call.rejections > MAX_REJECTIONS) {
      return this.#deps.outcomes.breakOff(call, "endpoint_lost", now);
    }
    this.#breakOffOrRetry(call, "rejected", now);
  }

  /**
   * Ends a request whose answer has a status that promises that it did not run, without anything that proves it. Its
   * caller would send it again.
   */
  failUnproved(call: Call, now: Instant): void {
    const attempt = call.attempt!;
    attempt.failed = true;
    this.#deps.attempts.close(call, "lost", now);
    if (call.orphaned) {
      return this.#deps.forget(call);
    }
    this.#deps.outcomes.fail(call, "endpoint_failed", now);
  }

  /** Resumes an interrupted stream at another endpoint, after the head of its first answer. */
  resumeStream(call: Call, answer: CallAnswer, now: Instant): void {
    const { id } = call.attempt!;
    const { status, events } = answer;
    if (status !== OK || !events || this.joinsStreams(call, answer)) {
      call.trace.noteInterrupted(call.attempt!, `Answered ${status}`);
      this.#deps.attempts.abandon(call, now);
      return this.#breakOffOrRetry(call, "failed", now);
    }
    this.resumedStreams++;
    this.#deps.outcomes.log("Stream goes on elsewhere.", call, {
      afterEvent: call.position.lastId,
      beganAt: call.origin?.version,
      ...call.trace.interruptionFields(),
    });
    this.#deps.emit({ kind: "goOn", attempt: id });
  }

  /**
   * Whether a peer does not accept relayed resumptions. Entries of earlier versions would continue a stream at any
   * software version, so that they are sent such requests in a form that they reject. An answer that states an origin
   * comes from an entry that accepted the request, and from an endpoint that may have run it.
   */
  isUnsupported(
    { attempt, origin }: Pick<Call, "attempt" | "origin">,
    answer: CallAnswer,
  ): boolean {
    return attempt?.target.kind === "peer" && origin !== undefined &&
      answer.status === BAD_REQUEST && !answer.fromEndpoint &&
      answer.origin === undefined;
  }

  /** Whether a peer answers with a stream of another origin than that of the stream that it was to continue. */
  joinsStreams({ attempt, origin }: Call, answer: CallAnswer): boolean {
    return attempt?.target.kind === "peer" && origin !== undefined &&
      answer.events && !isSameOrigin(answer.origin, origin);
  }

  /** Abandons a peer whose answer would join two streams. */
  refuseJoined(call: Call, now: Instant): void {
    call.trace.noteInterrupted(call.attempt!, "Continues another stream");
    if (!this.#tryElsewhere(call, "failed", now)) {
      this.#deps.attempts.abandon(call, now);
      this.#deps.outcomes.fail(call, "endpoint_failed", now);
    }
  }

  /** Handles an attempt of which no byte was written. */
  failedToSend(
    call: Call,
    attempt: OpenAttempt,
    { detail, refused, now }: {
      detail: string;
      refused: boolean;
      now: Instant;
    },
  ): void {
    const { state, sentAt } = attempt;
    // The connection was established and ended between the decision to send and the write.
    const isWithdrawn = sentAt !== undefined;
    if (isWithdrawn) {
      call.sentAttempts -= countAttempts(call, attempt);
      call.offered -= state === undefined ? 0 : 1;
    }
    if (!isWithdrawn && detail !== CONNECTION_LIMIT_REACHED) {
      state?.health.recordOutcome("unreached", now);
    }
    if (state !== undefined && refused) {
      this.#deps.quarantine.notePortClosed(state.record);
    }
    if (state !== undefined) {
      call.triedEndpoints.add(state.record.id);
      call.unreachedEndpoints.add(state.record.id);
    }
    this.#deps.attempts.close(call, "unsent", now);
    this.#deps.outcomes.log("Attempt was not sent.", call, { detail });
    call.failedConnections++;
    if (call.orphaned || call.failedConnections > MAX_FAILED_CONNECTIONS) {
      return this.#deps.outcomes.fail(call, "no_endpoint", now);
    }
    this.#deps.placer.place(call, now);
  }

  /** Handles an attempt of which bytes were written, but which brought no complete answer. */
  lost(
    call: Call,
    attempt: OpenAttempt,
    { detail, now }: { detail: string; now: Instant },
  ): void {
    const { state } = attempt;
    state?.health.recordOutcome("broken", now);
    call.trace.noteInterrupted(attempt, detail);
    this.#deps.attempts.close(call, "lost", now);
    if (state !== undefined) {
      this.#deps.quarantine.noteBrokenConnection(state, now);
    }
    this.#deps.outcomes.log("Attempt was lost.", call, { detail });
    if (call.orphaned) {
      return this.#deps.forget(call);
    }
    if (call.phase === "answering") {
      return this.#breakOffOrRetry(call, "resumed", now);
    }
    const fail = (at: Instant): void =>
      this.#deps.outcomes.fail(call, "endpoint_failed", at);
    if (!call.mayRetry || !this.#hasAlternative(call, now)) {
      return fail(now);
    }
    this.#retryOr(fail, { call, kind: "lost" }, now);
  }

  /** Checks whether the endpoint of an attempt has restarted or gone silent. */
  checkEndpoint(call: Call, attempt: OpenAttempt, now: Instant): void {
    const { state } = attempt;
    if (state !== undefined && this.#deps.endpoints.hasRestarted(state)) {
      this.#handleRestart(call, attempt, now);
    } else {
      this.#checkSilence(call, attempt, now);
    }
  }

  /**
   * An endpoint that restarts under the same id has lost its requests. Where its old connections go silent
   * instead of breaking, callers would wait until their deadline. The symptom is requests without an answer at an
   * endpoint that serves others.
   */
  #handleRestart(call: Call, attempt: OpenAttempt, now: Instant): void {
    if (attempt.sentAt !== undefined) {
      if (this.#deps.endpoints.hasOtherSoftware(attempt.state!)) {
        this.#deps.resumptions.markDoubtful(call, now);
      }
      this.#deps.emit({ kind: "abort", attempt: attempt.id });
      this.lost(call, attempt, { detail: "Endpoint started again", now });
    }
  }

  /** Abandons an endpoint from which nothing arrives. */
  #checkSilence(call: Call, attempt: OpenAttempt, now: Instant): void {
    const { state, sentAt, backpressureSince } = attempt;
    if (state === undefined || sentAt === undefined || !call.mayRetry) {
      return;
    }
    if (backpressureSince !== undefined) {
      // Nothing arrives because nothing is read. Otherwise the stream of a slow caller would be run again.
      return;
    }
    const engine = state.service?.engine !== undefined;
    // Data that arrived while the process was stalled is still unread in its sockets, so only time in which the
    // process was listening counts as silence.
    const { clock } = this.#deps;
    const quiet = clock.since(attempt.heardAt ?? sentAt, now);
    const limit = engine
      ? MAX_ENGINE_SILENCE_MS
      : call.route.objective * MAX_SILENCE_FRACTION;
    const silent = engine
      ? quiet > limit && clock.since(state.heardAt ?? sentAt, now) > limit
      : attempt.heardAt === undefined && quiet > limit;
    if (!silent) {
      return;
    }
    call.trace.noteInterrupted(attempt, "Silent");
    if (this.#tryElsewhere(call, "silent", now)) {
      this.#deps.outcomes.log("Endpoint is silent.", call, {
        endpoint: state.record.id,
      });
      state.health.recordOutcome("broken", now);
    }
  }

  /** Reserves a retry in the budget, if the request may be retried and can be sent to another endpoint or peer. */
  reserveRetry(call: Call, kind: RetryKind, now: Instant): boolean {
    return this.#hasAlternative(call, now) &&
      this.#deps.retries.reserve(call, kind, now);
  }

  /** Whether a request may be retried and can be sent to another endpoint or peer, if the budget allows it. */
  #hasAlternative(call: Call, now: Instant): boolean {
    const allowed = call.endsAt - now >= MIN_RETRY_TIME_MS &&
      call.possibleDeliveries < call.route.attempts &&
      call.attempts < MAX_ATTEMPTS &&
      !this.#deps.quarantine.isSuspect(call.head.fingerprint, now);
    const decision = allowed
      ? this.#deps.router.next(call, NOTHING_AHEAD, now)
      : undefined;
    return decision?.kind === "endpoint" || decision?.kind === "peer";
  }

  /** Sends a request without an attempt in progress once more if the budget allows it, and ends it otherwise. */
  #retryOr(
    end: (now: Instant) => void,
    { call, kind }: { call: Call; kind: RetryKind },
    now: Instant,
  ): void {
    const granted = (at: Instant): void => this.#deps.placer.place(call, at);
    const outcome = { granted, denied: end };
    this.#deps.retries.obtain(call, { kind, outcome }, now);
  }

  /** Ends a request that may not be sent to another endpoint, because the budget has no retry left. */
  endWithoutRetry(call: Call, now: Instant): void {
    const isNotRun = call.log.verdict().kind === "not_run";
    const reason = isNotRun ? "rejected" : "endpoint_failed";
    this.#deps.outcomes.fail(call, reason, now);
  }

  /** Resumes a stream at another endpoint where its route allows it, or breaks it off. */
  #breakOffOrRetry(call: Call, kind: RetryKind, now: Instant): void {
    const breakOff = (at: Instant): void =>
      this.#deps.outcomes.breakOff(call, "endpoint_lost", at);
    // Another endpoint could only start again from the beginning, and the caller would receive parts twice.
    if (!call.resumable || !this.#hasAlternative(call, now)) {
      return breakOff(now);
    }
    this.#retryOr(breakOff, { call, kind }, now);
  }

  /** Abandons the current attempt for another endpoint, if there is one and the budget allows it. */
  #tryElsewhere(call: Call, kind: RetryKind, now: Instant): boolean {
    // Another endpoint could only start again from the beginning, and the caller would receive parts twice.
    const fixed = call.phase === "answering" && !call.resumable;
    if (fixed || !this.reserveRetry(call, kind, now)) {
      return false;
    }
    this.#deps.attempts.abandon(call, now);
    this.#deps.placer.place(call, now);
    return true;
  }
}
