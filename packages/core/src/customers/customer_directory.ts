/**
 * Finds the customer of a request.
 *
 * @module
 */
import type { CustomerId, KeyDigest } from "../ids/index.ts";
import type { Customer } from "./customer.ts";

/** What a document says of customers, by id and by key. */
export class CustomerDirectory {
  readonly #byId: ReadonlyMap<CustomerId, Customer>;
  readonly #byKey = new Map<KeyDigest, Customer>();
  /** Whether any of them has a limit. */
  readonly limited: boolean;

  constructor(customers: ReadonlyMap<CustomerId, Customer>) {
    this.#byId = customers;
    this.limited = [...customers.values()].some(({ limit }) =>
      limit !== undefined
    );
    for (const customer of customers.values()) {
      customer.keyDigests.forEach((digest) =>
        this.#byKey.set(digest, customer)
      );
    }
  }

  /** Whether requests have to name a customer at all. */
  get required(): boolean {
    return this.#byId.size > 0;
  }

  get(id: CustomerId): Customer | undefined {
    return this.#byId.get(id);
  }

  find(key: KeyDigest): Customer | undefined {
    return this.#byKey.get(key);
  }
}
