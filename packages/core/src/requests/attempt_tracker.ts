/**
 * Follows attempts from the last check before the first byte to their end.
 *
 * @module
 */
import type { ActionController } from "../actions/index.ts";
import type { Blackboard } from "../blackboard/index.ts";
import type { EndpointController } from "../endpoints/index.ts";
import type { Explanations } from "../explain/index.ts";
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
  hasBegun,
  isRepeatable,
  needsConfirmedText,
} from "./active_request.ts";
import type { Answers } from "./answers.ts";
import { describeGoingOn, interruptionOf } from "./interruption.ts";
import { judgeEnd } from "./judge_end.ts";
import type { RequestTable } from "./request_table.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import { RetryBudget } from "./retry_budget.ts";
import { DEFAULT_RETRY, type Router } from "./router.ts";
import type { Spills } from "./spills.ts";

/** Attempts of one request, the first included. */
export const MAX_ATTEMPTS = 3;
/** The same for a stream that has begun: each attempt goes on where the one before broke off. */
const MAX_STREAM_ATTEMPTS = 6;

/** With these an endpoint says when it wants requests again. */
const TURNED_AWAY: ReadonlySet<number> = new Set([429, 503]);

/** What tracking works with. */
export interface TrackerDependencies {
  readonly emit: Emit;
  readonly actions: ActionController;
  readonly answers: Answers;
  readonly endpoints: EndpointController;
  readonly explanations: Explanations;
  readonly metrics: Metrics;
  readonly router: Router;
  readonly spills: Spills;
  readonly table: RequestTable;
  readonly quarantine: RequestQuarantine;
}

/** Judges and recovers attempts. */
export class AttemptTracker {
  readonly #board: Blackboard;
  readonly #with: TrackerDependencies;
  readonly #budget = new RetryBudget();

  constructor(board: Blackboard, dependencies: TrackerDependencies) {
    this.#board = board;
    this.#with = dependencies;
  }

  /**
   * The shell is about to write an attempt's first byte. Returns a request that has to be routed anew
   * because the attempt was withdrawn.
   *
   * The process may have been frozen between the decision and this moment: the caller was answered,
   * the endpoint left, the customer moved home, or the keys were handed over. One would notice by a
   * badge that is printed minutes after its visitor has gone. All that the decision relied on is
   * looked at again right before the first byte; without `proceed` nothing is written, so the attempt
   * is known not to have run.
   */
  commit(id: AttemptId, now: Instant): ActiveRequest | undefined {
    const request = this.#with.table.ofAttempt(id);
    if (request === undefined) {
      return undefined;
    }
    const obstacle = this.#obstacle(request, now);
    if (obstacle === undefined) {
      request.attempts.record(id, "sent");
      this.#with.quarantine.began(request, request.current!, now);
      this.#tellGoingOn(request);
      this.#with.emit({ kind: "proceed", attempt: id });
      return undefined;
    }
    this.#with.explanations.note(request.head.id, now, {
      text: "Withdrew the attempt",
      obstacle,
    });
    this.#close(request, "unsent", now);
    return request;
  }

  /** An attempt's first token came. */
  firstToken(id: AttemptId, now: Instant): void {
    const request = this.#with.table.ofAttempt(id);
    this.#noteHeard(request, now);
    if (request !== undefined && request.firstTokenAt === undefined) {
      request.firstTokenAt = now;
      this.#record("first_token", request, now - request.arrivedAt);
    }
  }

  /** Tokens up to `offset` went to the caller. */
  progress(id: AttemptId, offset: number, now: Instant): void {
    const request = this.#with.table.ofAttempt(id);
    this.#noteHeard(request, now);
    if (request === undefined || offset <= request.offset) {
      return;
    }
    if (request.lastTokenAt !== undefined) {
      this.#record(
        "between_tokens",
        request,
        (now - request.lastTokenAt) / (offset - request.offset),
      );
    }
    request.offset = offset;
    request.lastTokenAt = now;
  }

  /** With another status, a time to return is meant for the caller. */
  #noteRest({ target }: Attempt, end: AttemptEnd, now: Instant): void {
    const turnedAway = end.kind === "answered" &&
      TURNED_AWAY.has(end.answer.status);
    if (
      target.kind === "endpoint" && turnedAway && end.retryAfter !== undefined
    ) {
      this.#with.endpoints.rests(target.endpoint, end.retryAfter, now);
    }
  }

  #noteHeard(request: ActiveRequest | undefined, now: Instant): void {
    const target = request?.current?.target;
    if (target?.kind === "endpoint") {
      this.#with.quarantine.heard(target.endpoint, now);
    }
  }

  /** An attempt ended. Returns a keyed request whose peer was never reached, to be routed anew. */
  ended(
    id: AttemptId,
    end: AttemptEnd,
    now: Instant,
  ): ActiveRequest | undefined {
    const request = this.#with.table.ofAttempt(id);
    if (request === undefined) {
      return undefined;
    }
    const attempt = request.current!;
    const begun = hasBegun(request);
    const state = judgeEnd(request.service, end, { begun });
    const failed = end.kind === "unsent" || end.kind === "lost";
    if (failed && attempt.target.kind === "endpoint") {
      this.#with.endpoints.failed(attempt.target.endpoint, now);
    }
    this.#noteRest(attempt, end, now);
    this.#close(request, state, now);
    this.#with.explanations.note(request.head.id, now, {
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

  /** Ends the current attempt from this side; the shell drops its connection. */
  abort(request: ActiveRequest, now: Instant): void {
    const { current } = request;
    if (current !== undefined) {
      const sent = request.attempts.stateOf(current.id) === "sent";
      this.#with.emit({ kind: "abort", attempt: current.id });
      this.#close(request, sent ? "lost" : "unsent", now);
    }
  }

  /** Leaves a line where a stream goes on: that it was made by two engines is seen nowhere else. */
  #tellGoingOn(request: ActiveRequest): void {
    const { interruption, current, offset } = request;
    if (interruption === undefined || current === undefined) {
      return;
    }
    request.interruption = undefined;
    this.#with.metrics.count("streams_resumed");
    this.#with.emit({
      kind: "log",
      part: "route",
      text: "Stream goes on elsewhere.",
      fields: describeGoingOn(interruption, { ...current, offset }),
    });
  }

  #obstacle(request: ActiveRequest, now: Instant): string | undefined {
    const { configuration, endpoints, self } = this.#board;
    const { target } = request.current!;
    const customer = configuration.deployment?.customers.get(
      request.customer.id,
    );
    if (now >= request.deadlineAt) {
      return "deadline";
    }
    if (configuration.unconfirmed && needsConfirmedText(request)) {
      return "configuration not confirmed";
    }
    if (
      customer === undefined ||
      (customer.bound && customer.home !== self.region)
    ) {
      return "home moved";
    }
    if (target.kind === "peer") {
      return undefined;
    }
    const endpoint = endpoints.endpoints.get(target.endpoint);
    if (endpoint === undefined || endpoint.state === "draining") {
      return "endpoint leaves";
    }
    if (this.#with.quarantine.judge(request, now) !== undefined) {
      return "held";
    }
    const { keyOwner } = request;
    const givenUp = keyOwner !== undefined &&
      !this.#with.actions.mayRun(customer.id, keyOwner);
    return givenUp ? "key given up" : undefined;
  }

  #complete(request: ActiveRequest, end: AttemptEnd, now: Instant): void {
    this.#budget.earn();
    this.#record("whole_answer", request, now - request.arrivedAt);
    if (end.kind === "answered") {
      this.#with.answers.settle(
        request,
        { kind: "ran", answer: end.answer },
        now,
      );
      this.#with.answers.finish(request, {
        kind: "answered",
        answer: end.answer,
        verdict: RAN,
        replayed: false,
      }, now);
      return;
    }
    if (end.kind === "oversize") {
      this.#with.answers.answerUnkept(request, now);
      return;
    }
    this.#with.metrics.count("verdicts", "ran");
    this.#with.explanations.note(request.head.id, now, {
      text: "Streamed to the end",
      tokens: request.offset,
    });
    this.#with.table.remove(request);
  }

  /** An attempt did not complete: tries again where that is safe, and refuses otherwise. */
  #recover(
    request: ActiveRequest,
    { attempt, end }: { attempt: Attempt; end: AttemptEnd },
    now: Instant,
  ): void {
    if (this.#relay(request, { attempt, end }, now)) {
      return;
    }
    if (this.#mayRetry(request, end, now)) {
      if (hasBegun(request)) {
        request.interruption = interruptionOf(attempt, end) ??
          request.interruption;
      }
      this.#with.metrics.count("retries");
      this.#with.router.route(request, now);
      return;
    }
    const declared = end.kind === "answered" &&
      request.attempts.verdict().kind === "not_run";
    const reason: RefusalReason = declared
      ? "endpoint_refused"
      : "endpoint_failed";
    const retryAfter = (end.kind === "answered" ? end.retryAfter : undefined) ??
      DEFAULT_RETRY;
    this.#with.answers.refuse(request, reason, {
      detail: "No endpoint gave a whole answer",
      retryAfter,
      now,
    });
  }

  /** A forward that never reached the key's owner says nothing of earlier sends. */
  #isUnreachedOwner(request: ActiveRequest): boolean {
    const forwardedKey = request.keyOwner !== undefined && !request.ownsAction;
    return forwardedKey && request.attempts.verdict().kind === "not_run";
  }

  /**
   * Passes a peer's own word on: a key's owner knows best, and a second region is not asked. What it says
   * of the rest of an answer is no word on the whole.
   */
  #relay(
    request: ActiveRequest,
    { attempt, end }: { attempt: Attempt; end: AttemptEnd },
    now: Instant,
  ): boolean {
    if (
      attempt.target.kind !== "peer" || end.kind !== "answered" ||
      end.verdict === undefined || hasBegun(request)
    ) {
      return false;
    }
    if (request.keyOwner === undefined && end.verdict.kind === "not_run") {
      return false;
    }
    if (request.ownerGone && end.verdict.kind === "may_have_run") {
      const detail = "The key's owner has ended, nothing more can be learnt";
      this.#with.answers.refuse(request, "owner_gone", {
        detail,
        verdict: MAY_HAVE_RUN_SETTLED,
        now,
      });
      return true;
    }
    const { answer, verdict, retryAfter } = end;
    this.#with.answers.finish(request, {
      kind: "answered",
      answer,
      verdict,
      retryAfter,
      replayed: false,
    }, now);
    return true;
  }

  /**
   * A second attempt of a call that may have run could run it twice: one would notice by two badges.
   * Only what did not run, or may be repeated, is tried again. A forward to a key's owner never is:
   * the owner's answer may only be late.
   */
  #mayRetry(request: ActiveRequest, end: AttemptEnd, now: Instant): boolean {
    const forwardedKey = request.keyOwner !== undefined && !request.ownsAction;
    const safe = request.attempts.verdict().kind === "not_run" ||
      isRepeatable(request.service);
    const most = hasBegun(request) ? MAX_STREAM_ATTEMPTS : MAX_ATTEMPTS;
    const inTime = now < request.deadlineAt && request.attempts.size < most;
    const allowed = safe && !forwardedKey && inTime &&
      this.#with.quarantine.mayRepeat(request);
    return allowed && this.#isAffordable(request, end);
  }

  /**
   * An attempt that was never sent cost no endpoint anything, and a stream that goes on where it broke
   * off saves the work already done: when an engine with many streams dies, each of them goes on.
   * Every other retry comes out of the budget.
   */
  #isAffordable(request: ActiveRequest, end: AttemptEnd): boolean {
    return end.kind === "unsent" || hasBegun(request) || this.#budget.spend();
  }

  #close(request: ActiveRequest, state: AttemptState, now: Instant): void {
    const attempt = request.current!;
    this.#with.quarantine.ended(request, { attempt, state }, now);
    request.attempts.record(attempt.id, state);
    request.current = undefined;
    this.#with.table.endAttempt(attempt.id);
    if (attempt.target.kind === "endpoint") {
      this.#with.endpoints.ended(attempt.target.endpoint, attempt.id);
    } else {
      this.#with.spills.ended(request);
    }
  }

  #record(
    measure: Measure,
    { customer, requestClass }: ActiveRequest,
    ms: number,
  ): void {
    this.#with.metrics.record(measure, {
      customer: customer.id,
      requestClass,
      ms,
    });
  }
}
