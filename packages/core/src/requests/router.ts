/**
 * Sends requests to endpoints, to another region, or into the queue.
 *
 * @module
 */
import type { Blackboard, Endpoint } from "../blackboard/index.ts";
import type { EndpointController } from "../endpoints/index.ts";
import type { DecisionLog } from "../explain/index.ts";
import {
  type AttemptId,
  type Instant,
  type Milliseconds,
  milliseconds,
  type ServiceId,
} from "../ids/index.ts";
import type { Attempt, AttemptTarget, Emit } from "../messages/index.ts";
import type { Metrics } from "../metrics/index.ts";
import {
  type Balancer,
  estimateFreeSlots,
  type RemoteCapacity,
} from "../routing/index.ts";
import { type ActiveRequest, isRepeatable } from "./active_request.ts";
import type { AnswerSender } from "./answer_sender.ts";
import { predictWait, suspectEndpoints, usableEndpoints } from "./capacity.ts";
import { otherEntries } from "./entry_list.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { RequestTable } from "./request_table.ts";
import type { ServiceQueue } from "./service_queue.ts";
import type { SpillTracker } from "./spill_tracker.ts";
import { RecentWaits } from "./recent_waits.ts";

/** Retry time where no better estimate is known. */
export const DEFAULT_RETRY_MS: Milliseconds = milliseconds(1_000);
/** Prompt tokens per unit of cost in a service's queue. */
const TOKENS_PER_COST_UNIT = 512;
const SCREEN_PRIORITY = 0;
const SUMMARY_PRIORITY = 1;

/** Dependencies of `Router`. */
export interface RouterDependencies {
  readonly emit: Emit;
  readonly endpoints: EndpointController;
  readonly balancer: Balancer;
  readonly explanations: DecisionLog;
  readonly metrics: Metrics;
  readonly table: RequestTable;
  readonly answers: AnswerSender;
  readonly spills: SpillTracker;
  readonly quarantine: RequestQuarantine;
}

/** Routes requests whose body has been read. */
export class Router {
  readonly #board: Blackboard;
  readonly #dependencies: RouterDependencies;
  readonly #recentWaits = new RecentWaits();

  constructor(board: Blackboard, dependencies: RouterDependencies) {
    this.#board = board;
    this.#dependencies = dependencies;
  }

  /** Sends a request to an endpoint or region where it is expected to start soonest, or queues or refuses it. */
  route(request: ActiveRequest, now: Instant): void {
    if (!this.isStillAllowed(request, now) || this.#isHeld(request, now)) {
      return;
    }
    const { spills, table } = this.#dependencies;
    const usable = usableEndpoints(this.#board, request.service);
    const ahead = table.queueOf(request.service.id).countAhead(
      request.requestClass,
    );
    const available = this.#endpointsWithRoom(request, usable);
    if (available.length > 0 && (request.phase === "queued" || ahead === 0)) {
      this.#sendToEndpoint(request, available, now);
      return;
    }
    const predicted = predictWait(
      this.#board,
      { endpoints: usable, ahead },
      now,
    );
    const recentWait = ahead > 0
      ? this.#recentWaits.averageOf(request.service.id, now)
      : 0;
    const wait = milliseconds(Math.max(predicted, recentWait));
    const remote = spills.choose(request, wait, now);
    if (remote !== undefined) {
      this.#sendToRegion(request, remote, now);
    } else if (usable.length > 0) {
      this.#enqueue(request, wait, now);
    } else {
      this.#trySuspects(request, now);
    }
  }

  /** Refuses a request that is held back because endpoints crashed while running it, and so may the next one. */
  #isHeld(request: ActiveRequest, now: Instant): boolean {
    const { answers, quarantine } = this.#dependencies;
    const retryAfter = quarantine.waitIfHeld(request, now);
    if (retryAfter === undefined) {
      return false;
    }
    const detail = "Endpoints ended under this request";
    answers.refuse(request, "held", { detail, retryAfter, now });
    return true;
  }

  #trySuspects(request: ActiveRequest, now: Instant): void {
    const suspects = suspectEndpoints(this.#board, request.service)
      .filter((endpoint) => !request.tried.has(endpoint.vm.id));
    if (suspects.length > 0) {
      this.#sendToEndpoint(request, suspects, now);
      return;
    }
    const detail = `Service "${request.service.id}" has no live endpoint here`;
    this.#dependencies.answers.refuse(request, "no_endpoint", {
      detail,
      retryAfter: DEFAULT_RETRY_MS,
      now,
    });
  }

  /** Dispatches queued requests to endpoints with free capacity. */
  dispatchQueued(now: Instant): void {
    for (const [service, queue] of this.#dependencies.table.queues) {
      while (queue.size > 0 && this.#dispatchNext(service, queue, now)) {
        // Repeats until the queue is empty or no endpoint has free capacity.
      }
    }
  }

  /** Starts an attempt. The shell sends the event `commit` and waits for `proceed` before it writes anything. */
  dispatch(request: ActiveRequest, target: AttemptTarget, now: Instant): void {
    const attempt: Attempt = {
      id: `${request.head.id}.${request.attempts.size + 1}` as AttemptId,
      request: request.head.id,
      target,
      timeLeft: milliseconds(request.deadlineAt - now),
      resumeOffset: request.offset,
      freshConnection: !isRepeatable(request.service),
      priority: request.requestClass === "screen"
        ? SCREEN_PRIORITY
        : SUMMARY_PRIORITY,
    };
    request.attempts.record(attempt.id, "prepared");
    request.current = attempt;
    request.phase = "running";
    request.phaseSince = now;
    this.#dependencies.table.startAttempt(attempt.id, request);
    this.#dependencies.explanations.record(request.head.id, now, {
      text: "Dispatched",
      target,
    });
    this.#dependencies.emit({ kind: "dispatch", attempt });
  }

  /**
   * Whether the configuration in force still allows the request here. The customer may have been removed, or its
   * home region may have changed. Refuses the request otherwise.
   */
  isStillAllowed(request: ActiveRequest, now: Instant): boolean {
    const { self, configuration } = this.#board;
    const customer = configuration.deployment?.customers.get(
      request.customer.id,
    );
    if (customer === undefined) {
      this.#dependencies.answers.refuse(request, "unknown_customer", {
        detail: "The customer was removed",
        now,
      });
      return false;
    }
    if (customer.bound && customer.home !== self.region) {
      const detail =
        `Requests of this customer are served in region "${customer.home}" only`;
      const goTo = otherEntries(this.#board, customer.home);
      this.#dependencies.answers.refuse(request, "wrong_region", {
        detail,
        goTo,
        now,
      });
      return false;
    }
    return true;
  }

  #sendToEndpoint(
    request: ActiveRequest,
    available: readonly Endpoint[],
    now: Instant,
  ): void {
    const { balancer, endpoints, spills } = this.#dependencies;
    const { id, url } = balancer.choose(available, request.facts!, now).vm;
    request.tried.add(id);
    spills.recordLocal();
    this.dispatch(request, { kind: "endpoint", endpoint: id, url }, now);
    endpoints.attemptStarted(id, {
      attempt: request.current!.id,
      blocks: request.facts!.blocks,
      now,
    });
  }

  #sendToRegion(
    request: ActiveRequest,
    remote: RemoteCapacity,
    now: Instant,
  ): void {
    const { metrics, spills } = this.#dependencies;
    const { incarnation, url } = remote.member.record;
    metrics.count("spills");
    spills.recordSpill(request, remote.region);
    this.dispatch(request, { kind: "peer", incarnation, url }, now);
  }

  /** Returns endpoints with free capacity, only untried ones unless all have been tried. */
  #endpointsWithRoom(
    request: ActiveRequest,
    usable: readonly Endpoint[],
  ): Endpoint[] {
    const untried = usable.filter((endpoint) =>
      !request.tried.has(endpoint.vm.id)
    );
    const candidates = untried.length > 0 ? untried : usable;
    return candidates.filter((endpoint) => estimateFreeSlots(endpoint) > 0);
  }

  #enqueue(request: ActiveRequest, wait: Milliseconds, now: Instant): void {
    const { answers, explanations, table } = this.#dependencies;
    const queue = table.queueOf(request.service.id);
    const missesDeadline = now + wait >= request.deadlineAt;
    if (missesDeadline || queue.size >= request.service.queueLimit) {
      const detail = missesDeadline
        ? "The queue would outlast the deadline"
        : "The queue is full";
      answers.refuse(request, "overloaded", { detail, retryAfter: wait, now });
      return;
    }
    request.phase = "queued";
    request.phaseSince = now;
    explanations.record(request.head.id, now, {
      text: "Queued",
      predictedMs: Math.round(wait),
    });
    queue.add({
      request: request.head.id,
      customer: request.customer.id,
      requestClass: request.requestClass,
      cost: Math.max(
        1,
        Math.ceil(request.facts!.promptTokens / TOKENS_PER_COST_UNIT),
      ),
      since: now,
    });
  }

  #dispatchNext(id: ServiceId, queue: ServiceQueue, now: Instant): boolean {
    const service = this.#board.configuration.deployment?.services.get(id);
    const usable = service === undefined
      ? []
      : usableEndpoints(this.#board, service);
    if (!usable.some((endpoint) => estimateFreeSlots(endpoint) > 0)) {
      return false;
    }
    const request = this.#dependencies.table.get(queue.take()!.request);
    if (request !== undefined) {
      const { customer, requestClass, phaseSince } = request;
      this.#dependencies.metrics.record("queue_wait", {
        customer: customer.id,
        requestClass,
        ms: now - phaseSince,
      });
      this.#recentWaits.record(id, now - phaseSince, now);
      this.route(request, now);
    }
    // The request is queued again if all endpoints that it may use are full. Dispatching then continues later.
    return request === undefined || request.phase !== "queued";
  }
}
