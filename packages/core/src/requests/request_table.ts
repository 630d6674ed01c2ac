/**
 * Active requests of this entry, with the queues and idempotency keys that they wait for.
 *
 * @module
 */
import type { AttemptId, RequestId, ServiceId } from "../ids/index.ts";
import type { ActiveRequest } from "./active_request.ts";
import { ServiceQueue } from "./service_queue.ts";

/** All active requests. */
export class RequestTable {
  readonly #requests = new Map<RequestId, ActiveRequest>();
  readonly #byAttempt = new Map<AttemptId, ActiveRequest>();
  readonly #queues = new Map<ServiceId, ServiceQueue>();
  /** Requests that wait for the outcome of an earlier send, by customer and key. */
  readonly #joined = new Map<string, Set<RequestId>>();

  get size(): number {
    return this.#requests.size;
  }

  get queued(): number {
    let queued = 0;
    for (const queue of this.#queues.values()) {
      queued += queue.size;
    }
    return queued;
  }

  get queues(): ReadonlyMap<ServiceId, ServiceQueue> {
    return this.#queues;
  }

  /** Returns a copy of all requests, so that the table may change during iteration. */
  all(): ActiveRequest[] {
    return [...this.#requests.values()];
  }

  get(id: RequestId): ActiveRequest | undefined {
    return this.#requests.get(id);
  }

  /** Returns the request with this current attempt. */
  findByAttempt(id: AttemptId): ActiveRequest | undefined {
    return this.#byAttempt.get(id);
  }

  add(request: ActiveRequest): void {
    this.#requests.set(request.head.id, request);
  }

  /** Removes a request from the table, its queue and its key. */
  remove(request: ActiveRequest): void {
    this.#requests.delete(request.head.id);
    this.#queues.get(request.service.id)?.remove(request.head.id);
    this.#joined.get(keyOf(request))?.delete(request.head.id);
  }

  startAttempt(id: AttemptId, request: ActiveRequest): void {
    this.#byAttempt.set(id, request);
  }

  endAttempt(id: AttemptId): void {
    this.#byAttempt.delete(id);
  }

  queueOf(service: ServiceId): ServiceQueue {
    const known = this.#queues.get(service);
    if (known !== undefined) {
      return known;
    }
    const queue = new ServiceQueue();
    this.#queues.set(service, queue);
    return queue;
  }

  /** Makes a request wait for the outcome of the earlier send with its key. */
  join(request: ActiveRequest): void {
    const key = keyOf(request);
    this.#joined.set(
      key,
      (this.#joined.get(key) ?? new Set()).add(request.head.id),
    );
  }

  /** Removes all requests that wait for the same key from the waiting ones, and returns them. */
  takeJoined(request: ActiveRequest): ActiveRequest[] {
    const key = keyOf(request);
    const ids = this.#joined.get(key) ?? new Set();
    this.#joined.delete(key);
    return [...ids].flatMap((id) => this.#requests.get(id) ?? []);
  }
}

function keyOf(request: ActiveRequest): string {
  return `${request.customer.id}\n${request.keyOwner?.key ?? ""}`;
}
