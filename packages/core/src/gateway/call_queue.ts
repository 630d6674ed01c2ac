/**
 * Requests that wait for capacity at an endpoint, and the order in which they are served.
 *
 * @module
 */
import { costOf } from "../customers/index.ts";
import type { FairShares } from "../fair_shares/index.ts";
import {
  after,
  type CustomerId,
  type Instant,
  type RequestId,
  type ServiceId,
} from "../ids/index.ts";
import type { Call } from "./call.ts";
import { DEFAULT_PREFILL_TOKENS_PER_MS, prefillTimeMs } from "./prompt_cost.ts";

const MS_PER_SECOND = 1_000;
/** Time to the first event apart from reading the prompt: connection, engine steps and the way back. */
const START_OVERHEAD_MS = 50;
/** Milliseconds by which a request is moved back in the queue for each that an engine reads its prompt. */
const COST_WEIGHT = 2;
/** The longest such time, as a fraction of the objective: with a longer one, long prompts are late before their turn. */
const MAX_COST_FRACTION = 0.2;

/** Holds the waiting requests. */
export class CallQueue {
  readonly #calls = new Map<RequestId, Call>();
  readonly #shares: FairShares | undefined;

  /** Orders requests of one rank by `shares` while there is contention in the region. */
  constructor(shares?: FairShares) {
    this.#shares = shares;
  }

  get size(): number {
    return this.#calls.size;
  }

  has(call: Call): boolean {
    return this.#calls.has(call.head.id);
  }

  add(call: Call): void {
    this.#calls.set(call.head.id, call);
  }

  remove(call: Call): void {
    this.#calls.delete(call.head.id);
  }

  /**
   * Prompt tokens of waiting requests that are served before a new request of the given rank. When all waiting
   * requests were counted, urgent requests were refused because of a queue that they do not wait in.
   */
  tokensAhead(priority: number): number {
    let tokens = 0;
    for (const { head, rank } of this.#calls.values()) {
      tokens += rank <= priority ? head.prompt?.promptTokens ?? 0 : 0;
    }
    return tokens;
  }

  /** Number of requests waiting for a service that are served before a new request of the given rank. */
  callsAhead(service: ServiceId, priority: number): number {
    let calls = 0;
    for (const { services, rank } of this.#calls.values()) {
      calls += services[0] === service && rank <= priority ? 1 : 0;
    }
    return calls;
  }

  /**
   * Waiting requests in the order of service: first those that can still meet their objective, then by rank and
   * arrival. Under overload, strict order of arrival makes every request late, so requests that will be late
   * anyway get the remaining capacity. The time that an engine takes to begin an answer is included. Without
   * it, each request was sent just too late, and less of the value of a simulated peak during an evacuation
   * was served, most of all in its worst seconds.
   *
   * Within a rank, a request is moved back by twice the time that it keeps an engine reading, up to a limit. More cheap
   * requests are served this way, such as prompts whose shared prefix is cached, and no request waits forever.
   * In order of arrival, less of the value of the reviews in that peak was served.
   */
  ordered(prefillFraction: number, now: Instant): Call[] {
    const queued: QueuedCall[] = [];
    for (const call of this.#calls.values()) {
      queued.push({
        call,
        rank: call.rank,
        late: isLateToStart(call, prefillFraction, now) ? 1 : 0,
        virtualTime: virtualArrival(call),
      });
    }
    if (this.#shares?.isContended(now) === true) {
      orderByShares(queued, this.#shares, now);
    } else {
      spaceOutCustomers(queued);
    }
    queued.sort((left, right) =>
      left.late - right.late ||
      left.rank - right.rank ||
      left.virtualTime - right.virtualTime
    );
    return queued.map(({ call }) => call);
  }
}

/** Whether a request's first event would be late if it was sent now. */
export function isLateToStart(
  call: Call,
  prefillFraction: number,
  now: Instant,
): boolean {
  return call.isLate(after(now, startTime(call, prefillFraction)));
}

/** A waiting request and its virtual time, by which requests of one rank are ordered. */
interface QueuedCall {
  readonly call: Call;
  readonly rank: number;
  /** 1 if the request can't meet its objective any more, otherwise 0. */
  readonly late: number;
  virtualTime: number;
}

/**
 * Moves virtual times so that they space out each customer's requests at the rate of its limit (one virtual clock per
 * customer). A customer that sends a burst within its limit queues behind itself, and requests of other
 * customers of the same rank overtake it.
 */
function spaceOutCustomers(queued: QueuedCall[]): void {
  if (queued.every(({ call }) => call.customer?.limit === undefined)) {
    return;
  }
  queued.sort((left, right) => left.virtualTime - right.virtualTime);
  const offsets = new Map<CustomerId, number>();
  for (const item of queued) {
    const { customer, head } = item.call;
    if (customer?.limit !== undefined) {
      const offset = offsets.get(customer.id) ?? 0;
      const cost = costOf(customer.limit, head.prompt);
      offsets.set(
        customer.id,
        offset + cost * MS_PER_SECOND / customer.limit.perSecond,
      );
      item.virtualTime += offset;
    }
  }
}

/**
 * Replaces virtual times by those of the region: a customer's clock counts what it has waiting and has got at all
 * entries.
 */
function orderByShares(
  queued: QueuedCall[],
  shares: FairShares,
  now: Instant,
): void {
  queued.sort((left, right) => left.virtualTime - right.virtualTime);
  const times = shares.startTimes(
    queued.map(({ call, rank, late, virtualTime }) => ({
      service: call.services[0]!,
      rank,
      late: late === 1,
      customer: call.customer?.id,
      virtualArrival: virtualTime,
      tokens: call.uncachedTokens,
    })),
    now,
  );
  queued.forEach((item, index) => item.virtualTime = times[index]!);
}

/** Virtual time of a request before its customer's other requests are taken into account. */
function virtualArrival(
  { firstAttemptAt, uncachedTokens, route }: Call,
): number {
  return firstAttemptAt +
    Math.min(
      MAX_COST_FRACTION * route.objective,
      COST_WEIGHT * uncachedTokens / DEFAULT_PREFILL_TOKENS_PER_MS,
    );
}

/** Milliseconds from sending to the first event if `prefillFraction` of the prompt has to be prefilled. */
export function startTime({ head }: Call, prefillFraction: number): number {
  return head.prompt === undefined
    ? 0
    : START_OVERHEAD_MS + prefillTimeMs(head.prompt, prefillFraction);
}
