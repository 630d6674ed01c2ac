/**
 * Which entry issues the permits of each endpoint, as one entry sees it.
 *
 * @module
 */
import type { EndpointId, Incarnation, Instant } from "../ids/index.ts";
import { TAKEOVER_MS } from "./permit_issuer.ts";

/** The issuer is looked for again this often. */
const ISSUER_LIFETIME_MS = 100;
/** An entry that has run for less may not know who issued permits before it. */
const SETTLING_MS = 3_000;

/** The issuer of one endpoint. */
export interface Issuer {
  readonly entry: Incarnation;
  /** Whether another one may have issued before it. */
  readonly takesOver: boolean;
  readonly foundAt: Instant;
}

/** Finds issuers, and notices when another entry becomes one. */
export class IssuerView {
  readonly #issuerOf: (endpoint: EndpointId) => Incarnation;
  readonly #startedAt: Instant;
  readonly #issuers = new Map<EndpointId, Issuer>();

  constructor(
    issuerOf: (endpoint: EndpointId) => Incarnation,
    now: Instant,
  ) {
    this.#issuerOf = issuerOf;
    this.#startedAt = now;
  }

  /** The issuer of an endpoint that last stated its limit at `statedAt`. */
  find(endpoint: EndpointId, statedAt: Instant, now: Instant): Issuer {
    const known = this.#issuers.get(endpoint);
    if (known !== undefined && now - known.foundAt < ISSUER_LIFETIME_MS) {
      return known;
    }
    const entry = this.#issuerOf(endpoint);
    const isFirst = known === undefined && now - statedAt < TAKEOVER_MS &&
      now - this.#startedAt >= SETTLING_MS;
    const takesOver = known?.entry === entry ? known.takesOver : !isFirst;
    const issuer = { entry, takesOver, foundAt: now };
    this.#issuers.set(endpoint, issuer);
    return issuer;
  }

  forget(endpoint: EndpointId): void {
    this.#issuers.delete(endpoint);
  }

  /** This process stood still: any other entry may have issued meanwhile. */
  woke(): void {
    for (const [endpoint, issuer] of this.#issuers) {
      this.#issuers.set(endpoint, { ...issuer, takesOver: true });
    }
  }
}
