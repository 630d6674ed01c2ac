/**
 * Looks up customers by id or by API key.
 *
 * @module
 */
import type { CustomerId, KeyDigest } from "../ids/index.ts";
import type { Customer } from "./customer.ts";

/** The customers of one routing document, indexed by id and by key digest. */
export class CustomerDirectory {
  readonly #byId: ReadonlyMap<CustomerId, Customer>;
  readonly #byKey = new Map<KeyDigest, Customer>();
  /** Whether any customer has a limit. */
  readonly hasLimits: boolean;

  constructor(customers: ReadonlyMap<CustomerId, Customer>) {
    this.#byId = customers;
    this.hasLimits = [...customers.values()].some(({ limit }) =>
      limit !== undefined
    );
    for (const customer of customers.values()) {
      customer.keyDigests.forEach((digest) =>
        this.#byKey.set(digest, customer)
      );
    }
  }

  /** Whether requests must carry a customer's key: true if the document lists any customers. */
  get requiresKeys(): boolean {
    return this.#byId.size > 0;
  }

  get(id: CustomerId): Customer | undefined {
    return this.#byId.get(id);
  }

  find(key: KeyDigest): Customer | undefined {
    return this.#byKey.get(key);
  }
}
