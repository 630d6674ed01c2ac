/**
 * The way of a request: admission, body, confirmation, key, queue, attempt, answer.
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
  Spare,
} from "../messages/index.ts";
import {
  MAY_HAVE_RUN_OPEN,
  NOT_RUN,
  type Refusal,
  refusal,
} from "../verdict/index.ts";
import {
  type ActiveRequest,
  needsConfirmedText,
  newActiveRequest,
} from "./active_request.ts";
import { admit } from "./admission.ts";
import { Answers } from "./answers.ts";
import { AttemptTracker } from "./attempt_tracker.ts";
import { predictWait, usableEndpoints } from "./capacity.ts";
import { DemandParts } from "./demand_parts.ts";
import { otherEntries } from "./entry_list.ts";
import { KeyRouter } from "./key_router.ts";
import {
  ACTION_GRACE_MS,
  CONFIRMING_MS,
  type RequestDependencies,
} from "./request_dependencies.ts";
import { RequestTable } from "./request_table.ts";
import { DEFAULT_RETRY, Router } from "./router.ts";
import { measureSpare } from "./spare.ts";
import { Spills } from "./spills.ts";

/** Writes the `requests` section, and is its view. */
export class RequestController implements RequestsView {
  readonly #board: Blackboard;
  readonly #with: RequestDependencies;
  readonly #table = new RequestTable();
  readonly #limits: DemandParts;
  readonly #spills: Spills;
  readonly #answers: Answers;
  readonly #router: Router;
  readonly #keys: KeyRouter;
  readonly #tracker: AttemptTracker;

  constructor(board: Blackboard, dependencies: RequestDependencies) {
    this.#board = board;
    this.#with = dependencies;
    this.#limits = new DemandParts(board);
    this.#spills = new Spills(board);
    const table = this.#table;
    const spills = this.#spills;
    const answers = new Answers(board, { ...dependencies, table });
    const router = new Router(board, {
      ...dependencies,
      table,
      spills,
      answers,
    });
    this.#answers = answers;
    this.#router = router;
    this.#keys = new KeyRouter(board, {
      ...dependencies,
      table,
      answers,
      router,
    });
    this.#tracker = new AttemptTracker(board, {
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
    return this.#limits.demand(now);
  }

  spare(now: Instant): readonly Spare[] {
    return measureSpare(
      this.#board,
      (service) => this.#table.queueOf(service).size,
      now,
    );
  }

  /** A request's head came. */
  arrive(head: RequestHead, now: Instant): void {
    this.#with.metrics.count("requests");
    const result = admit(this.#board, head, now);
    if (!result.ok) {
      this.#answers.refuseHead(head, result.refusal, now);
      return;
    }
    const request = newActiveRequest(result.admission);
    const refused = this.#refusedBeforeBody(request, now);
    if (refused !== undefined) {
      this.#answers.refuseHead(head, refused, now);
      return;
    }
    this.#table.add(request);
    const { service, requestClass } = request;
    this.#with.explanations.note(head.id, now, {
      text: "Admitted",
      service: service.id,
      class: requestClass,
    });
    this.#confirmThenProceed(request, now);
  }

  /** A request's body is complete. */
  bodyRead(id: RequestId, facts: BodyFacts, now: Instant): void {
    const request = this.#table.get(id);
    if (request !== undefined && request.phase === "body") {
      request.facts = facts;
      this.#confirmThenProceed(request, now);
    }
  }

  /** The body never came whole, so this send ran nothing. */
  bodyFailed(id: RequestId, detail: string, now: Instant): void {
    const request = this.#table.get(id);
    if (request !== undefined && request.phase === "body") {
      this.#answers.refuse(request, "invalid_request", {
        detail,
        now,
      });
    }
  }

  /** The caller hung up. An action goes on, and its outcome is kept for the caller's retry. */
  callerGone(id: RequestId, now: Instant): void {
    const request = this.#table.get(id);
    if (request === undefined || request.closed) {
      return;
    }
    this.#with.explanations.note(id, now, { text: "Caller gone" });
    request.closed = true;
    if (!request.ownsAction) {
      this.#tracker.abort(request, now);
      this.#table.remove(request);
      this.#router.pump(now);
    }
  }

  /** The shell is about to write an attempt's first byte. */
  commit(id: AttemptId, now: Instant): void {
    const withdrawn = this.#tracker.commit(id, now);
    if (withdrawn === undefined) {
      return;
    }
    if (now >= withdrawn.deadlineAt) {
      this.#expire(withdrawn, now);
    } else {
      this.#confirmThenProceed(withdrawn, now);
    }
  }

  /** An attempt's first token came. */
  firstToken(id: AttemptId, now: Instant): void {
    this.#tracker.firstToken(id, now);
  }

  /** Tokens up to `offset` went to the caller. */
  progress(id: AttemptId, offset: number, now: Instant): void {
    this.#tracker.progress(id, offset, now);
  }

  /** An attempt ended. */
  attemptEnded(id: AttemptId, end: AttemptEnd, now: Instant): void {
    const unreached = this.#tracker.ended(id, end, now);
    if (unreached !== undefined) {
      this.#keys.routeUnreached(unreached, now);
    }
    this.#router.pump(now);
  }

  /** Ends what is over time, and gives waiting requests to endpoints. */
  tick(now: Instant): void {
    for (const request of this.#table.all()) {
      if (now >= request.deadlineAt) {
        this.#expire(request, now);
      } else if (request.phase === "confirming") {
        this.#confirmThenProceed(request, now);
      }
    }
    this.#router.pump(now);
  }

  #refusedBeforeBody(
    request: ActiveRequest,
    now: Instant,
  ): Refusal | undefined {
    const { head, customer, service, keyOwner } = request;
    if (
      this.#board.lifecycle.phase !== "ready" &&
      !this.#hasEarlierSend(request, now)
    ) {
      return refusal("stopping", {
        detail: "The entry is stopping",
        verdict: NOT_RUN,
        retryAfter: milliseconds(0),
        goTo: otherEntries(this.#board, this.#board.self.region),
      });
    }
    // A forwarded request was counted by the entry that it came to.
    const limited = head.forwarded
      ? undefined
      : this.#limits.take(customer, now);
    if (limited !== undefined) {
      const detail = "The customer's requests a second are used up";
      return refusal("customer_limit", {
        detail,
        verdict: NOT_RUN,
        retryAfter: limited,
      });
    }
    const queue = this.#table.queueOf(service.id);
    const full = queue.size > 0 && queue.size >= service.queueLimit;
    if (!full || keyOwner !== undefined || this.#spills.mayTravel(request)) {
      return undefined;
    }
    const wait = predictWait(this.#board, {
      endpoints: usableEndpoints(this.#board, service),
      ahead: queue.size,
    }, now);
    return refusal("overloaded", {
      detail: "The queue is full",
      verdict: NOT_RUN,
      retryAfter: wait,
    });
  }

  #hasEarlierSend(
    { customer, keyOwner }: ActiveRequest,
    now: Instant,
  ): boolean {
    const standing = keyOwner === undefined
      ? undefined
      : this.#with.actions.standing(customer.id, keyOwner, now);
    return standing?.kind === "known" || standing?.kind === "running";
  }

  /**
   * Goes on with a request once the text in force is known to be in force. A body is not read before
   * that: the customer's home may have moved while this process stood still.
   */
  #confirmThenProceed(request: ActiveRequest, now: Instant): void {
    const unconfirmed = this.#board.configuration.unconfirmed &&
      needsConfirmedText(request);
    if (!unconfirmed) {
      this.#proceed(request, now);
      return;
    }
    if (request.phase !== "confirming") {
      request.phase = "confirming";
      request.phaseSince = now;
    } else if (now - request.phaseSince >= CONFIRMING_MS) {
      const detail = "The configuration in force could not be confirmed";
      const goTo = otherEntries(this.#board, this.#board.self.region);
      this.#answers.refuse(request, "configuration_unconfirmed", {
        detail,
        retryAfter: DEFAULT_RETRY,
        goTo,
        now,
      });
    }
  }

  #proceed(request: ActiveRequest, now: Instant): void {
    if (request.facts !== undefined) {
      this.#keys.route(request, now);
    } else if (this.#router.isStillAllowed(request, now)) {
      request.phase = "body";
      this.#with.emit({ kind: "readBody", request: request.head.id });
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
    this.#tracker.abort(request, now);
    this.#answers.refuse(request, "deadline", {
      detail: "The deadline passed",
      retryAfter: DEFAULT_RETRY,
      now,
    });
  }

  /** The caller is told now; the action may end later, and a retry with the key then learns how. */
  #expireAction(request: ActiveRequest, now: Instant): void {
    if (!request.closed) {
      const detail = "The deadline passed, the call may still run";
      const rest = {
        detail,
        verdict: MAY_HAVE_RUN_OPEN,
        retryAfter: DEFAULT_RETRY,
        now,
      };
      this.#answers.answerEarly(
        request,
        this.#answers.refusalOf(request, "deadline", rest),
        now,
      );
    }
    if (now - request.deadlineAt >= ACTION_GRACE_MS) {
      this.#tracker.abort(request, now);
      this.#answers.refuse(request, "endpoint_failed", {
        detail: "The endpoint never answered",
        now,
      });
    }
  }
}
