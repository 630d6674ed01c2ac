/**
 * Customers of a load: their shares of the traffic and their keys, and those that send many times their usual.
 *
 * @module
 */
import {
  type CustomerId,
  type KeyDigest,
  keyDigest,
  type Randomness,
} from "@sassafrasstep/core";
import { readCustomer } from "../routes/route_setting.ts";
import type { RouteWorld } from "../routes/route_world.ts";
import { type Line, option, word } from "../scenario/script.ts";

/** A customer of a load. */
export interface LoadCustomer {
  readonly id: CustomerId;
  readonly key: KeyDigest;
  /** Usual share of the traffic, relative to the shares of other customers. */
  readonly share: number;
  /** Factor on the usual traffic at present. */
  factor: number;
}

/** The customers that requests of a load are drawn for. */
export class LoadCustomers {
  readonly #customers = new Map<string, LoadCustomer>();
  /** Customers that sent more than their usual at some time. */
  readonly hot = new Set<CustomerId>();

  /** `customer NAME keys K,K [share W] [limit N] [burst N] [tokens]`: adds a customer that sends with its first key. */
  add(world: RouteWorld, line: Line): void {
    const customer = readCustomer(line);
    const [key = keyDigest(customer.id)] = customer.keyDigests;
    world.store.customers.set(customer.id, customer);
    this.#customers.set(customer.id, {
      id: customer.id,
      key,
      share: Number(option(line, "share", "1")),
      factor: 1,
    });
  }

  /**
   * `customers PREFIX COUNT skew S limit N [burst N] [tokens]`: adds COUNT customers of which the k-th has a share of
   * 1/k^S. The limit is for all together and is split by their shares, as is the burst.
   */
  addMany(world: RouteWorld, line: Line): void {
    const prefix = word(line, 1, "a prefix");
    const count = Number(word(line, 2, "a number"));
    const skew = Number(option(line, "skew", "0"));
    const shares = Array.from(
      { length: count },
      (_, index) => 1 / (index + 1) ** skew,
    );
    const total = shares.reduce((sum, share) => sum + share, 0);
    const limit = Number(option(line, "limit", "0"));
    const burst = Number(option(line, "burst", String(limit)));
    shares.forEach((share, index) => {
      const name = `${prefix}${index + 1}`;
      const part = (whole: number): string => String(whole * share / total);
      const words = ["customer", name, "keys", `key-${name}`].concat(
        ["share", String(share), "limit", part(limit), "burst", part(burst)],
        line.words.includes("tokens") ? ["tokens"] : [],
      );
      this.add(world, { ...line, words });
    });
  }

  /** `hot CUSTOMER FACTOR`: a customer sends FACTOR times its usual from now on. */
  setFactor(line: Line): void {
    const customer = this.#customers.get(word(line, 1, "a customer"));
    if (customer !== undefined) {
      customer.factor = Number(word(line, 2, "a factor"));
      if (customer.factor > 1) {
        this.hot.add(customer.id);
      }
    }
  }

  /** Factor of the whole traffic, above 1 while customers send more than usual. */
  get trafficFactor(): number {
    let usual = 0;
    let current = 0;
    for (const { share, factor } of this.#customers.values()) {
      usual += share;
      current += share * factor;
    }
    return usual === 0 ? 1 : current / usual;
  }

  /** Draws the customer of a request, `undefined` in a load without customers. */
  draw(random: Randomness): LoadCustomer | undefined {
    const customers = [...this.#customers.values()];
    if (customers.length === 0) {
      return undefined;
    }
    let remaining = random.next() *
      customers.reduce((sum, { share, factor }) => sum + share * factor, 0);
    return customers.find(({ share, factor }) => {
      remaining -= share * factor;
      return remaining < 0;
    }) ?? customers.at(-1);
  }
}
