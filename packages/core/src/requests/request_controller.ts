/**
 * Life cycle of requests: admission, body, confirmation, key, queue, attempts and answer.
 *
 * @module
 */
import type { Blackboard, RequestsView } from "../blackboard/index.ts";
import type {
  AttemptId,
  CustomerId,
  Instant,
  RequestId,
} from "../ids/index.ts";
import { milliseconds } from "../ids/index.ts";
import type {
  AttemptEnd,
  BodyFacts,
  RequestHead,
  SpareCapacity,
} from "../messages/index.ts";
import {
  createRefusal,
  MAY_HAVE_RUN_OPEN,
  NOT_RUN,
  type Refusal,
} from "../verdict/index.ts";
import {
  type ActiveRequest,
  needsConfirmedConfiguration,
  newActiveRequest,
} from "./active_request.ts";
import { admit } from "./admission.ts";
import { AnswerSender } from "./answer_sender.ts";
import { AttemptTracker } from "./attempt_tracker.ts";
import { predictWait, usableEndpoints } from "./capacity.ts";
import { CustomerRateLimits } from "./customer_rate_limits.ts";
import { otherEntries } from "./entry_list.ts";
import { KeyRouter } from "./key_router.ts";
import {
  ACTION_GRACE_MS,
  CONFIRMATION_TIMEOUT_MS,
  type RequestDependencies,
} from "./request_dependencies.ts";
import { RequestTable } from "./request_table.ts";
import { DEFAULT_RETRY_MS, Router } from "./router.ts";
import { measureSpareCapacity } from "./spare_capacity.ts";
import { SpillTracker } from "./spill_tracker.ts";

/** Handles requests. Implements the `requests` section of the blackboard. */
export class RequestController implements RequestsView {
  readonly #board: Blackboard;
  readonly #dependencies: RequestDependencies;
  readonly #table = new RequestTable();
  readonly #customerLimits: CustomerRateLimits;
  readonly #spills: SpillTracker;
  readonly #answers: AnswerSender;
  readonly #router: Router;
  readonly #keyRouter: KeyRouter;
  readonly #attemptTracker: AttemptTracker;

  constructor(board: Blackboard, dependencies: RequestDependencies) {
    this.#board = board;
    this.#dependencies = dependencies;
    this.#customerLimits = new CustomerRateLimits(board);
    this.#spills = new SpillTracker(board);
    const table = this.#table;
    const spills = this.#spills;
    const answers = new AnswerSender(board, { ...dependencies, table });
    const router = new Router(board, {
      ...dependencies,
      table,
      spills,
      answers,
    });
    this.#answers = answers;
    this.#router = router;
    this.#keyRouter = new KeyRouter(board, {
      ...dependencies,
      table,
      answers,
      router,
    });
    this.#attemptTracker = new AttemptTracker(board, {
      ...dependencies,
      table,
      answers,
      router,
      spills,
    });
  }

  get active(): number {
    return this.#table.size;
  }

  get queued(): number {
    return this.#table.queued;
  }

  get runningActions(): number {
    return this.#table.all().filter((request) => request.ownsAction).length;
  }

  demand(now: Instant): ReadonlyMap<CustomerId, number> {
    return this.#customerLimits.demand(now);
  }

  spare(now: Instant): readonly SpareCapacity[] {
    return measureSpareCapacity(
      this.#board,
      (service) => this.#table.queueOf(service).size,
      now,
    );
  }

  /** Handles the head of a new request. */
  receive(head: RequestHead, now: Instant): void {
    this.#dependencies.metrics.count("requests");
    const result = admit(this.#board, head, now);
    if (!result.ok) {
      this.#answers.refuseHead(head, result.refusal, now);
      return;
    }
    const request = newActiveRequest(result.admission);
    const refused = this.#findRefusalBeforeBody(request, now);
    if (refused !== undefined) {
      this.#answers.refuseHead(head, refused, now);
      return;
    }
    this.#table.add(request);
    const { service, requestClass } = request;
    this.#dependencies.explanations.record(head.id, now, {
      text: "Admitted",
      service: service.id,
      class: requestClass,
    });
    this.#confirmThenProceed(request, now);
  }

  /** Handles a body that was read completely. */
  bodyRead(id: RequestId, facts: BodyFacts, now: Instant): void {
    const request = this.#table.get(id);
    if (request !== undefined && request.phase === "body") {
      request.facts = facts;
      this.#confirmThenProceed(request, now);
    }
  }

  /** Handles a body that could not be read completely. This send ran nothing. */
  bodyFailed(id: RequestId, detail: string, now: Instant): void {
    const request = this.#table.get(id);
    if (request !== undefined && request.phase === "body") {
      this.#answers.refuse(request, "invalid_request", {
        detail,
        now,
      });
    }
  }

  /** Handles a caller that disconnected. An action continues, and its outcome is kept for the caller's retry. */
  callerGone(id: RequestId, now: Instant): void {
    const request = this.#table.get(id);
    if (request === undefined || request.callerDone) {
      return;
    }
    this.#dependencies.explanations.record(id, now, { text: "Caller gone" });
    request.callerDone = true;
    if (!request.ownsAction) {
      this.#attemptTracker.abort(request, now);
      this.#table.remove(request);
      this.#router.dispatchQueued(now);
    }
  }

  /** Handles the shell's question whether it may write an attempt's first byte. */
  commit(id: AttemptId, now: Instant): void {
    const withdrawn = this.#attemptTracker.commit(id, now);
    if (withdrawn === undefined) {
      return;
    }
    if (now >= withdrawn.deadlineAt) {
      this.#expire(withdrawn, now);
    } else {
      this.#confirmThenProceed(withdrawn, now);
    }
  }

  /** Handles the first token of an attempt. */
  firstToken(id: AttemptId, now: Instant): void {
    this.#attemptTracker.firstToken(id, now);
  }

  /** Handles progress: tokens up to `offset` have been sent to the caller. */
  progress(id: AttemptId, offset: number, now: Instant): void {
    this.#attemptTracker.progress(id, offset, now);
  }

  /** Handles the end of an attempt. */
  attemptEnded(id: AttemptId, end: AttemptEnd, now: Instant): void {
    const unreached = this.#attemptTracker.ended(id, end, now);
    if (unreached !== undefined) {
      this.#keyRouter.rerouteUnreached(unreached, now);
    }
    this.#router.dispatchQueued(now);
  }

  /** Ends requests whose deadline has passed, and dispatches queued requests to endpoints. */
  tick(now: Instant): void {
    for (const request of this.#table.all()) {
      if (now >= request.deadlineAt) {
        this.#expire(request, now);
      } else if (request.phase === "confirming") {
        this.#confirmThenProceed(request, now);
      }
    }
    this.#router.dispatchQueued(now);
  }

  #findRefusalBeforeBody(
    request: ActiveRequest,
    now: Instant,
  ): Refusal | undefined {
    const { head, customer, service, keyOwner } = request;
    if (
      this.#board.lifecycle.phase !== "ready" &&
      !this.#hasEarlierSend(request, now)
    ) {
      return createRefusal("stopping", {
        detail: "The entry is stopping",
        verdict: NOT_RUN,
        retryAfter: milliseconds(0),
        goTo: otherEntries(this.#board, this.#board.self.region),
      });
    }
    // A forwarded request was already charged by the entry that received it from the caller.
    const limitWait = head.forwarded
      ? undefined
      : this.#customerLimits.take(customer, now);
    if (limitWait !== undefined) {
      const detail = "The customer's requests a second are used up";
      return createRefusal("customer_limit", {
        detail,
        verdict: NOT_RUN,
        retryAfter: limitWait,
      });
    }
    const queue = this.#table.queueOf(service.id);
    const full = queue.size > 0 && queue.size >= service.queueLimit;
    if (!full || keyOwner !== undefined || this.#spills.maySpill(request)) {
      return undefined;
    }
    const wait = predictWait(this.#board, {
      endpoints: usableEndpoints(this.#board, service),
      ahead: queue.size,
    }, now);
    return createRefusal("overloaded", {
      detail: "The queue is full",
      verdict: NOT_RUN,
      retryAfter: wait,
    });
  }

  #hasEarlierSend(
    { customer, keyOwner }: ActiveRequest,
    now: Instant,
  ): boolean {
    const status = keyOwner === undefined
      ? undefined
      : this.#dependencies.actions.keyStatus(customer.id, keyOwner, now);
    return status?.kind === "known" || status?.kind === "running";
  }

  /**
   * Continues with a request once the configuration in force is confirmed. Its body is not read before, since
   * the customer's home region may have changed while this process was paused.
   */
  #confirmThenProceed(request: ActiveRequest, now: Instant): void {
    const unconfirmed = this.#board.configuration.unconfirmed &&
      needsConfirmedConfiguration(request);
    if (!unconfirmed) {
      this.#proceed(request, now);
      return;
    }
    if (request.phase !== "confirming") {
      request.phase = "confirming";
      request.phaseSince = now;
    } else if (now - request.phaseSince >= CONFIRMATION_TIMEOUT_MS) {
      const detail = "The configuration in force could not be confirmed";
      const goTo = otherEntries(this.#board, this.#board.self.region);
      this.#answers.refuse(request, "configuration_unconfirmed", {
        detail,
        retryAfter: DEFAULT_RETRY_MS,
        goTo,
        now,
      });
    }
  }

  #proceed(request: ActiveRequest, now: Instant): void {
    if (request.facts !== undefined) {
      this.#keyRouter.route(request, now);
    } else if (this.#router.isStillAllowed(request, now)) {
      request.phase = "body";
      this.#dependencies.emit({ kind: "readBody", request: request.head.id });
    }
  }

  #expire(request: ActiveRequest, now: Instant): void {
    if (
      request.ownsAction && request.phase === "running" &&
      request.current !== undefined
    ) {
      this.#expireAction(request, now);
      return;
    }
    this.#attemptTracker.abort(request, now);
    this.#answers.refuse(request, "deadline", {
      detail: "The deadline passed",
      retryAfter: DEFAULT_RETRY_MS,
      now,
    });
  }

  /** Answers the caller now. The action may end later, and a retry with the same key then returns its outcome. */
  #expireAction(request: ActiveRequest, now: Instant): void {
    if (!request.callerDone) {
      const detail = "The deadline passed, the call may still run";
      const options = {
        detail,
        verdict: MAY_HAVE_RUN_OPEN,
        retryAfter: DEFAULT_RETRY_MS,
        now,
      };
      this.#answers.answerEarly(
        request,
        this.#answers.refusalOf(request, "deadline", options),
        now,
      );
    }
    if (now - request.deadlineAt >= ACTION_GRACE_MS) {
      this.#attemptTracker.abort(request, now);
      this.#answers.refuse(request, "endpoint_failed", {
        detail: "The endpoint never answered",
        now,
      });
    }
  }
}
