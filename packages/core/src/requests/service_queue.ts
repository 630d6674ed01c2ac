/**
 * Queue of one service's requests, ordered by class and fair between customers.
 *
 * @module
 */
import type { CustomerId, Instant, RequestId } from "../ids/index.ts";
import { REQUEST_CLASSES, type RequestClass } from "../text/index.ts";

/** One queued request. */
export interface QueuedRequest {
  readonly request: RequestId;
  readonly customer: CustomerId;
  readonly requestClass: RequestClass;
  /** Estimated work in cost units, at least 1. */
  readonly cost: number;
  readonly since: Instant;
}

/** Number of dispatches after which the lower class goes first once, so that it never starves. */
export const LOW_CLASS_INTERVAL = 5;
/** Cost units added to a customer's deficit each round. */
const DEFICIT_QUANTUM = 4;

/** Queue of one class, by deficit round robin over its customers. */
class FairQueue {
  readonly #byCustomer = new Map<
    CustomerId,
    { items: QueuedRequest[]; deficit: number }
  >();
  size = 0;

  add(item: QueuedRequest): void {
    const queue = this.#byCustomer.get(item.customer);
    this.size++;
    if (queue === undefined) {
      this.#byCustomer.set(item.customer, { items: [item], deficit: 0 });
    } else {
      queue.items.push(item);
    }
  }

  /**
   * Removes and returns the next request. In a first-in-first-out queue, a burst of one customer would delay
   * the interactive requests (class `screen`) of all others. Here each customer is served as far as its deficit allows.
   */
  take(): QueuedRequest | undefined {
    while (this.size > 0) {
      const [customer, queue] = this.#byCustomer.entries().next().value!;
      const head = queue.items[0]!;
      if (queue.deficit < head.cost) {
        queue.deficit += DEFICIT_QUANTUM;
        this.#moveToEnd(customer, queue);
        continue;
      }
      queue.deficit -= head.cost;
      queue.items.shift();
      this.#dropIfEmpty(customer, queue);
      this.size--;
      return head;
    }
    return undefined;
  }

  remove(request: RequestId): boolean {
    for (const [customer, queue] of this.#byCustomer) {
      const index = queue.items.findIndex((item) => item.request === request);
      if (index >= 0) {
        queue.items.splice(index, 1);
        this.#dropIfEmpty(customer, queue);
        this.size--;
        return true;
      }
    }
    return false;
  }

  #moveToEnd(
    customer: CustomerId,
    queue: { items: QueuedRequest[]; deficit: number },
  ): void {
    this.#byCustomer.delete(customer);
    this.#byCustomer.set(customer, queue);
  }

  #dropIfEmpty(
    customer: CustomerId,
    queue: { items: QueuedRequest[]; deficit: number },
  ): void {
    if (queue.items.length === 0) {
      this.#byCustomer.delete(customer);
    }
  }
}

/** All queued requests of one service. */
export class ServiceQueue {
  readonly #classes = new Map<RequestClass, FairQueue>(
    REQUEST_CLASSES.map((name) => [name, new FairQueue()]),
  );
  #dispatches = 0;

  get size(): number {
    let size = 0;
    for (const queue of this.#classes.values()) {
      size += queue.size;
    }
    return size;
  }

  /** Returns the number of queued requests that are served before a new one of the given class. */
  countAhead(requestClass: RequestClass): number {
    return requestClass === "screen"
      ? this.#classes.get("screen")!.size
      : this.size;
  }

  add(item: QueuedRequest): void {
    this.#classes.get(item.requestClass)!.add(item);
  }

  /** Removes and returns the next request: every `LOW_CLASS_INTERVAL`-th of the lower class, others of the higher one. */
  take(): QueuedRequest | undefined {
    const [high, low] = REQUEST_CLASSES.map((name) =>
      this.#classes.get(name)!
    ) as [FairQueue, FairQueue];
    this.#dispatches++;
    const lowTurn = this.#dispatches % LOW_CLASS_INTERVAL === 0;
    return lowTurn ? low.take() ?? high.take() : high.take() ?? low.take();
  }

  remove(request: RequestId): boolean {
    return [...this.#classes.values()].some((queue) => queue.remove(request));
  }
}
