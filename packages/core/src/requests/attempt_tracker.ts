/**
 * Attempts in progress, from the last check before the first byte is written to their end.
 *
 * @module
 */
import type { ActionController } from "../actions/index.ts";
import type { Blackboard } from "../blackboard/index.ts";
import type { EndpointController } from "../endpoints/index.ts";
import type { DecisionLog } from "../explain/index.ts";
import type { AttemptId, Instant } from "../ids/index.ts";
import type { Attempt, AttemptEnd, Emit } from "../messages/index.ts";
import type { Measure, Metrics } from "../metrics/index.ts";
import {
  type AttemptState,
  MAY_HAVE_RUN_SETTLED,
  RAN,
  type RefusalReason,
} from "../verdict/index.ts";
import {
  type ActiveRequest,
  hasStreamedTokens,
  isRepeatable,
  needsConfirmedConfiguration,
} from "./active_request.ts";
import type { AnswerSender } from "./answer_sender.ts";
import { interruptionOf, resumptionFields } from "./interruption.ts";
import { attemptStateOf } from "./attempt_state.ts";
import type { RequestTable } from "./request_table.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import { RetryThrottle } from "./retry_throttle.ts";
import { DEFAULT_RETRY_MS, type Router } from "./router.ts";
import type { SpillTracker } from "./spill_tracker.ts";

/** Maximum number of attempts of one request, including the first. */
export const MAX_ATTEMPTS = 3;
/** Maximum for a stream that has started: each attempt continues where the one before broke off. */
const MAX_STREAM_ATTEMPTS = 6;

/** Statuses with which `Retry-After` states how long an endpoint wants no requests. */
const REST_STATUSES: ReadonlySet<number> = new Set([429, 503]);

/** Dependencies of `AttemptTracker`. */
export interface TrackerDependencies {
  readonly emit: Emit;
  readonly actions: ActionController;
  readonly answers: AnswerSender;
  readonly endpoints: EndpointController;
  readonly explanations: DecisionLog;
  readonly metrics: Metrics;
  readonly router: Router;
  readonly spills: SpillTracker;
  readonly table: RequestTable;
  readonly quarantine: RequestQuarantine;
}

/** Tracks attempts in progress, and retries or refuses requests whose attempt failed. */
export class AttemptTracker {
  readonly #board: Blackboard;
  readonly #dependencies: TrackerDependencies;
  readonly #retryThrottle = new RetryThrottle();

  constructor(board: Blackboard, dependencies: TrackerDependencies) {
    this.#board = board;
    this.#dependencies = dependencies;
  }

  /**
   * Performs the last check before the shell writes an attempt's first byte. Returns the request if the
   * attempt was withdrawn and the request has to be routed again.
   *
   * The process may have been frozen since the attempt was dispatched. Meanwhile the caller may have been
   * answered, the endpoint may have left, the customer's home region may have changed, or the keys may have
   * been handed over. Without this check, an action could run minutes after its caller has left. Every
   * condition of the dispatch is therefore checked again. Without the effect `proceed` nothing is written,
   * so the attempt is known not to have run.
   */
  commit(id: AttemptId, now: Instant): ActiveRequest | undefined {
    const request = this.#dependencies.table.findByAttempt(id);
    if (request === undefined) {
      return undefined;
    }
    const obstacle = this.#findObstacle(request, now);
    if (obstacle === undefined) {
      request.attempts.record(id, "sent");
      this.#dependencies.quarantine.attemptStarted(
        request,
        request.current!,
        now,
      );
      this.#logResumption(request);
      this.#dependencies.emit({ kind: "proceed", attempt: id });
      return undefined;
    }
    this.#dependencies.explanations.record(request.head.id, now, {
      text: "Withdrew the attempt",
      obstacle,
    });
    this.#closeAttempt(request, "unsent", now);
    return request;
  }

  /** Handles the first token of an attempt. */
  firstToken(id: AttemptId, now: Instant): void {
    const request = this.#dependencies.table.findByAttempt(id);
    this.#recordResponse(request, now);
    if (request !== undefined && request.firstTokenAt === undefined) {
      request.firstTokenAt = now;
      this.#recordLatency("first_token", request, now - request.arrivedAt);
    }
  }

  /** Handles progress: tokens up to `offset` have been sent to the caller. */
  progress(id: AttemptId, offset: number, now: Instant): void {
    const request = this.#dependencies.table.findByAttempt(id);
    this.#recordResponse(request, now);
    if (request === undefined || offset <= request.offset) {
      return;
    }
    if (request.lastTokenAt !== undefined) {
      this.#recordLatency(
        "between_tokens",
        request,
        (now - request.lastTokenAt) / (offset - request.offset),
      );
    }
    request.offset = offset;
    request.lastTokenAt = now;
  }

  /** Records how long the endpoint wants no requests. With other statuses, `Retry-After` is meant for the caller. */
  #recordRest({ target }: Attempt, end: AttemptEnd, now: Instant): void {
    const isRestStatus = end.kind === "answered" &&
      REST_STATUSES.has(end.answer.status);
    if (
      target.kind === "endpoint" && isRestStatus && end.retryAfter !== undefined
    ) {
      this.#dependencies.endpoints.recordRest(
        target.endpoint,
        end.retryAfter,
        now,
      );
    }
  }

  #recordResponse(request: ActiveRequest | undefined, now: Instant): void {
    const target = request?.current?.target;
    if (target?.kind === "endpoint") {
      this.#dependencies.quarantine.endpointResponded(target.endpoint, now);
    }
  }

  /** Handles the end of an attempt. Returns a keyed request whose peer was not reached, to be routed again. */
  ended(
    id: AttemptId,
    end: AttemptEnd,
    now: Instant,
  ): ActiveRequest | undefined {
    const request = this.#dependencies.table.findByAttempt(id);
    if (request === undefined) {
      return undefined;
    }
    const attempt = request.current!;
    const streamStarted = hasStreamedTokens(request);
    const state = attemptStateOf(request.service, end, { streamStarted });
    const failed = end.kind === "unsent" || end.kind === "lost";
    if (failed && attempt.target.kind === "endpoint") {
      this.#dependencies.endpoints.markSuspect(attempt.target.endpoint, now);
    }
    this.#recordRest(attempt, end, now);
    this.#closeAttempt(request, state, now);
    this.#dependencies.explanations.record(request.head.id, now, {
      text: "Attempt ended",
      end: end.kind,
      state,
    });
    if (state === "completed") {
      this.#complete(request, end, now);
    } else if (this.#isUnreachedOwner(request)) {
      return request;
    } else {
      this.#recover(request, { attempt, end }, now);
    }
    return undefined;
  }

  /** Aborts the current attempt, if there is one. The shell closes its connection. */
  abort(request: ActiveRequest, now: Instant): void {
    const { current } = request;
    if (current !== undefined) {
      const sent = request.attempts.stateOf(current.id) === "sent";
      this.#dependencies.emit({ kind: "abort", attempt: current.id });
      this.#closeAttempt(request, sent ? "lost" : "unsent", now);
    }
  }

  /** Logs that a stream continues at another engine, which is recorded nowhere else. */
  #logResumption(request: ActiveRequest): void {
    const { interruption, current, offset } = request;
    if (interruption === undefined || current === undefined) {
      return;
    }
    request.interruption = undefined;
    this.#dependencies.metrics.count("streams_resumed");
    this.#dependencies.emit({
      kind: "log",
      part: "route",
      text: "Stream goes on elsewhere.",
      fields: resumptionFields(interruption, { ...current, offset }),
    });
  }

  #findObstacle(request: ActiveRequest, now: Instant): string | undefined {
    const { configuration, endpoints, self } = this.#board;
    const { target } = request.current!;
    const customer = configuration.deployment?.customers.get(
      request.customer.id,
    );
    if (now >= request.deadlineAt) {
      return "deadline";
    }
    if (configuration.unconfirmed && needsConfirmedConfiguration(request)) {
      return "configuration not confirmed";
    }
    if (
      customer === undefined ||
      (customer.bound && customer.home !== self.region)
    ) {
      return "home region changed";
    }
    if (target.kind === "peer") {
      return undefined;
    }
    const endpoint = endpoints.endpoints.get(target.endpoint);
    if (endpoint === undefined || endpoint.state === "draining") {
      return "endpoint is leaving";
    }
    if (this.#dependencies.quarantine.waitIfHeld(request, now) !== undefined) {
      return "held";
    }
    const { keyOwner } = request;
    const isHandedOver = keyOwner !== undefined &&
      !this.#dependencies.actions.mayRun(customer.id, keyOwner);
    return isHandedOver ? "key handed over" : undefined;
  }

  #complete(request: ActiveRequest, end: AttemptEnd, now: Instant): void {
    this.#retryThrottle.recordSuccess();
    this.#recordLatency("whole_answer", request, now - request.arrivedAt);
    if (end.kind === "answered") {
      this.#dependencies.answers.recordOutcome(
        request,
        { kind: "ran", answer: end.answer },
        now,
      );
      this.#dependencies.answers.finish(request, {
        kind: "answered",
        answer: end.answer,
        verdict: RAN,
        replayed: false,
      }, now);
      return;
    }
    if (end.kind === "oversize") {
      this.#dependencies.answers.answerOversize(request, now);
      return;
    }
    this.#dependencies.metrics.count("verdicts", "ran");
    this.#dependencies.explanations.record(request.head.id, now, {
      text: "Streamed to the end",
      tokens: request.offset,
    });
    this.#dependencies.table.remove(request);
  }

  /** Retries a request whose attempt did not complete if that is safe, and refuses it otherwise. */
  #recover(
    request: ActiveRequest,
    { attempt, end }: { attempt: Attempt; end: AttemptEnd },
    now: Instant,
  ): void {
    if (this.#relayPeerVerdict(request, { attempt, end }, now)) {
      return;
    }
    if (this.#mayRetry(request, end, now)) {
      if (hasStreamedTokens(request)) {
        request.interruption = interruptionOf(attempt, end) ??
          request.interruption;
      }
      this.#dependencies.metrics.count("retries");
      this.#dependencies.router.route(request, now);
      return;
    }
    const isDeclaredNotRun = end.kind === "answered" &&
      request.attempts.verdict().kind === "not_run";
    const reason: RefusalReason = isDeclaredNotRun
      ? "endpoint_refused"
      : "endpoint_failed";
    const retryAfter = (end.kind === "answered" ? end.retryAfter : undefined) ??
      DEFAULT_RETRY_MS;
    this.#dependencies.answers.refuse(request, reason, {
      detail: "No endpoint gave a whole answer",
      retryAfter,
      now,
    });
  }

  /** Whether the request was forwarded for its key and not received: that reveals nothing about earlier sends. */
  #isUnreachedOwner(request: ActiveRequest): boolean {
    const isForwardedKey = request.keyOwner !== undefined &&
      !request.ownsAction;
    return isForwardedKey && request.attempts.verdict().kind === "not_run";
  }

  /**
   * Passes a peer's verdict on to the caller: the owner of a key knows its outcome, and no second region is
   * tried. A peer's verdict on the rest of a stream does not apply to the whole request, so it is not passed on.
   */
  #relayPeerVerdict(
    request: ActiveRequest,
    { attempt, end }: { attempt: Attempt; end: AttemptEnd },
    now: Instant,
  ): boolean {
    if (
      attempt.target.kind !== "peer" || end.kind !== "answered" ||
      end.verdict === undefined || hasStreamedTokens(request)
    ) {
      return false;
    }
    if (request.keyOwner === undefined && end.verdict.kind === "not_run") {
      return false;
    }
    if (request.ownerGone && end.verdict.kind === "may_have_run") {
      const detail = "The key's owner has ended, nothing more can be learnt";
      this.#dependencies.answers.refuse(request, "owner_gone", {
        detail,
        verdict: MAY_HAVE_RUN_SETTLED,
        now,
      });
      return true;
    }
    const { answer, verdict, retryAfter } = end;
    this.#dependencies.answers.finish(request, {
      kind: "answered",
      answer,
      verdict,
      retryAfter,
      replayed: false,
    }, now);
    return true;
  }

  /**
   * Whether the request may be tried again. Another attempt of a call that may have run could run it twice,
   * so only a call that did not run or may be repeated is retried. A forward to the owner of a key is never
   * retried, because the owner's answer may just be late.
   */
  #mayRetry(request: ActiveRequest, end: AttemptEnd, now: Instant): boolean {
    const isForwardedKey = request.keyOwner !== undefined &&
      !request.ownsAction;
    const isSafe = request.attempts.verdict().kind === "not_run" ||
      isRepeatable(request.service);
    const maxAttempts = hasStreamedTokens(request)
      ? MAX_STREAM_ATTEMPTS
      : MAX_ATTEMPTS;
    const isWithinLimits = now < request.deadlineAt &&
      request.attempts.size < maxAttempts;
    const isAllowed = isSafe && !isForwardedKey && isWithinLimits &&
      this.#dependencies.quarantine.mayRepeat(request);
    return isAllowed && this.#isAffordable(request, end);
  }

  /**
   * Whether the retry budget allows another attempt. Two kinds of retry don't use the budget: an attempt that
   * was not sent caused no load, and resuming a stream preserves the work already done, so that all streams
   * of an engine that fails can continue.
   */
  #isAffordable(request: ActiveRequest, end: AttemptEnd): boolean {
    return end.kind === "unsent" || hasStreamedTokens(request) ||
      this.#retryThrottle.trySpend();
  }

  #closeAttempt(
    request: ActiveRequest,
    state: AttemptState,
    now: Instant,
  ): void {
    const attempt = request.current!;
    this.#dependencies.quarantine.attemptEnded(
      request,
      { attempt, state },
      now,
    );
    request.attempts.record(attempt.id, state);
    request.current = undefined;
    this.#dependencies.table.endAttempt(attempt.id);
    if (attempt.target.kind === "endpoint") {
      this.#dependencies.endpoints.attemptEnded(
        attempt.target.endpoint,
        attempt.id,
      );
    } else {
      this.#dependencies.spills.recordSpillEnd(request);
    }
  }

  #recordLatency(
    measure: Measure,
    { customer, requestClass }: ActiveRequest,
    ms: number,
  ): void {
    this.#dependencies.metrics.record(measure, {
      customer: customer.id,
      requestClass,
      ms,
    });
  }
}
