/**
 * Sends requests to endpoints, to another region, or into the queue.
 *
 * @module
 */
import type { Blackboard, Endpoint } from "../blackboard/index.ts";
import type { EndpointController } from "../endpoints/index.ts";
import type { Explanations } from "../explain/index.ts";
import {
  type AttemptId,
  type Instant,
  type Milliseconds,
  milliseconds,
  type ServiceId,
} from "../ids/index.ts";
import type { Attempt, Emit, Target } from "../messages/index.ts";
import type { Metrics } from "../metrics/index.ts";
import {
  type Balancer,
  type RemoteCapacity,
  roomAt,
} from "../routing/index.ts";
import { type ActiveRequest, isRepeatable } from "./active_request.ts";
import type { Answers } from "./answers.ts";
import { doubtfulEndpoints, predictWait, usableEndpoints } from "./capacity.ts";
import { otherEntries } from "./entry_list.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";
import type { RequestTable } from "./request_table.ts";
import type { ServiceQueue } from "./service_queue.ts";
import type { Spills } from "./spills.ts";
import { WaitMemory } from "./wait_memory.ts";

/** When to come back where nothing better is known. */
export const DEFAULT_RETRY: Milliseconds = milliseconds(1_000);
/** Prompt tokens of one unit of a queue's deficit. */
const TOKENS_PER_COST = 512;
const SCREEN_PRIORITY = 0;
const SUMMARY_PRIORITY = 1;

/** What routing works with. */
export interface RouterDependencies {
  readonly emit: Emit;
  readonly endpoints: EndpointController;
  readonly balancer: Balancer;
  readonly explanations: Explanations;
  readonly metrics: Metrics;
  readonly table: RequestTable;
  readonly answers: Answers;
  readonly spills: Spills;
  readonly quarantine: RequestQuarantine;
}

/** Routes requests whose body is read. */
export class Router {
  readonly #board: Blackboard;
  readonly #with: RouterDependencies;
  readonly #waits = new WaitMemory();

  constructor(board: Blackboard, dependencies: RouterDependencies) {
    this.#board = board;
    this.#with = dependencies;
  }

  /** Sends a request to where it is answered first, or queues or refuses it. */
  route(request: ActiveRequest, now: Instant): void {
    if (!this.isStillAllowed(request, now) || this.#isHeld(request, now)) {
      return;
    }
    const { spills, table } = this.#with;
    const usable = usableEndpoints(this.#board, request.service);
    const ahead = table.queueOf(request.service.id).ahead(request.requestClass);
    const free = this.#freeFor(request, usable);
    if (free.length > 0 && (request.phase === "queued" || ahead === 0)) {
      this.#sendToEndpoint(request, free, now);
      return;
    }
    const predicted = predictWait(
      this.#board,
      { endpoints: usable, ahead },
      now,
    );
    const learned = ahead > 0 ? this.#waits.recent(request.service.id, now) : 0;
    const wait = milliseconds(Math.max(predicted, learned));
    const remote = spills.choose(request, wait, now);
    if (remote !== undefined) {
      this.#sendToRegion(request, remote, now);
    } else if (usable.length > 0) {
      this.#enqueue(request, wait, now);
    } else {
      this.#tryDoubtful(request, now);
    }
  }

  /** Refuses what has ended the endpoints that ran it: sent on, it would end the next. */
  #isHeld(request: ActiveRequest, now: Instant): boolean {
    const { answers, quarantine } = this.#with;
    const retryAfter = quarantine.judge(request, now);
    if (retryAfter === undefined) {
      return false;
    }
    const detail = "Endpoints ended under this request";
    answers.refuse(request, "held", { detail, retryAfter, now });
    return true;
  }

  #tryDoubtful(request: ActiveRequest, now: Instant): void {
    const doubtful = doubtfulEndpoints(this.#board, request.service)
      .filter((endpoint) => !request.tried.has(endpoint.vm.id));
    if (doubtful.length > 0) {
      this.#sendToEndpoint(request, doubtful, now);
      return;
    }
    const detail = `Service "${request.service.id}" has no live endpoint here`;
    this.#with.answers.refuse(request, "no_endpoint", {
      detail,
      retryAfter: DEFAULT_RETRY,
      now,
    });
  }

  /** Gives waiting requests to endpoints with room. */
  pump(now: Instant): void {
    for (const [service, queue] of this.#with.table.queues) {
      while (queue.size > 0 && this.#pumpOne(service, queue, now)) {
        // Goes on until the queue is empty or no endpoint has room.
      }
    }
  }

  /** Starts an attempt; the shell asks by `commit` before it writes anything. */
  dispatch(request: ActiveRequest, target: Target, now: Instant): void {
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
    this.#with.table.startAttempt(attempt.id, request);
    this.#with.explanations.note(request.head.id, now, {
      text: "Dispatched",
      target,
    });
    this.#with.emit({ kind: "dispatch", attempt });
  }

  /** Whether the text in force still lets the request go on here: its home may have moved since. */
  isStillAllowed(request: ActiveRequest, now: Instant): boolean {
    const { self, configuration } = this.#board;
    const customer = configuration.deployment?.customers.get(
      request.customer.id,
    );
    if (customer === undefined) {
      this.#with.answers.refuse(request, "unknown_customer", {
        detail: "The customer was removed",
        now,
      });
      return false;
    }
    if (customer.bound && customer.home !== self.region) {
      const detail =
        `Requests of this customer are served in region "${customer.home}" only`;
      const goTo = otherEntries(this.#board, customer.home);
      this.#with.answers.refuse(request, "wrong_region", { detail, goTo, now });
      return false;
    }
    return true;
  }

  #sendToEndpoint(
    request: ActiveRequest,
    free: readonly Endpoint[],
    now: Instant,
  ): void {
    const { balancer, endpoints, spills } = this.#with;
    const { id, url } = balancer.choose(free, request.facts!, now).vm;
    request.tried.add(id);
    spills.stayed();
    this.dispatch(request, { kind: "endpoint", endpoint: id, url }, now);
    endpoints.started(id, {
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
    const { metrics, spills } = this.#with;
    const { incarnation, url } = remote.member.record;
    metrics.count("spills");
    spills.sent(request, remote.region);
    this.dispatch(request, { kind: "peer", incarnation, url }, now);
  }

  /** Endpoints with room: one that was not tried yet, where there is one. */
  #freeFor(request: ActiveRequest, usable: readonly Endpoint[]): Endpoint[] {
    const fresh = usable.filter((endpoint) =>
      !request.tried.has(endpoint.vm.id)
    );
    const candidates = fresh.length > 0 ? fresh : usable;
    return candidates.filter((endpoint) => roomAt(endpoint) > 0);
  }

  #enqueue(request: ActiveRequest, wait: Milliseconds, now: Instant): void {
    const { answers, explanations, table } = this.#with;
    const queue = table.queueOf(request.service.id);
    const late = now + wait >= request.deadlineAt;
    if (late || queue.size >= request.service.queueLimit) {
      const detail = late
        ? "The queue would outlast the deadline"
        : "The queue is full";
      answers.refuse(request, "overloaded", { detail, retryAfter: wait, now });
      return;
    }
    request.phase = "queued";
    request.phaseSince = now;
    explanations.note(request.head.id, now, {
      text: "Queued",
      predictedMs: Math.round(wait),
    });
    queue.add({
      request: request.head.id,
      customer: request.customer.id,
      requestClass: request.requestClass,
      cost: Math.max(
        1,
        Math.ceil(request.facts!.promptTokens / TOKENS_PER_COST),
      ),
      since: now,
    });
  }

  #pumpOne(id: ServiceId, queue: ServiceQueue, now: Instant): boolean {
    const service = this.#board.configuration.deployment?.services.get(id);
    const usable = service === undefined
      ? []
      : usableEndpoints(this.#board, service);
    if (!usable.some((endpoint) => roomAt(endpoint) > 0)) {
      return false;
    }
    const request = this.#with.table.get(queue.take()!.request);
    if (request !== undefined) {
      const { customer, requestClass, phaseSince } = request;
      this.#with.metrics.record("queue_wait", {
        customer: customer.id,
        requestClass,
        ms: now - phaseSince,
      });
      this.#waits.note(id, now - phaseSince, now);
      this.route(request, now);
    }
    // A request that found only tried endpoints full is back in the queue: the next turn is for later.
    return request === undefined || request.phase !== "queued";
  }
}
