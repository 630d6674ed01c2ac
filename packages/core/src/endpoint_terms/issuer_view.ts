/**
 * One entry's view of which entry issues the permits of each endpoint.
 *
 * @module
 */
import type { EndpointId, Incarnation, Instant } from "../ids/index.ts";
import { TAKEOVER_DELAY_MS } from "./permit_issuer.ts";

/** Time after which the issuer is determined again. */
const ISSUER_CACHE_MS = 100;
/** An entry that started more recently may not know which entry issued permits before. */
const WARM_UP_MS = 3_000;

/** The issuer of one endpoint. */
export interface Issuer {
  readonly entry: Incarnation;
  /** Whether another entry may have issued permits before this one. */
  readonly takesOver: boolean;
  readonly foundAt: Instant;
}

/** Determines issuers, and detects when another entry takes over. */
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

  /** Returns the issuer of an endpoint that last stated its limit at `statedAt`. */
  find(endpoint: EndpointId, statedAt: Instant, now: Instant): Issuer {
    const known = this.#issuers.get(endpoint);
    if (known !== undefined && now - known.foundAt < ISSUER_CACHE_MS) {
      return known;
    }
    const entry = this.#issuerOf(endpoint);
    const hasNoPredecessor = known === undefined &&
      now - statedAt < TAKEOVER_DELAY_MS &&
      now - this.#startedAt >= WARM_UP_MS;
    const takesOver = known?.entry === entry
      ? known.takesOver
      : !hasNoPredecessor;
    const issuer = { entry, takesOver, foundAt: now };
    this.#issuers.set(endpoint, issuer);
    return issuer;
  }

  forget(endpoint: EndpointId): void {
    this.#issuers.delete(endpoint);
  }

  /** Called after the process was suspended: other entries may have issued permits meanwhile. */
  onResume(): void {
    for (const [endpoint, issuer] of this.#issuers) {
      this.#issuers.set(endpoint, { ...issuer, takesOver: true });
    }
  }
}
