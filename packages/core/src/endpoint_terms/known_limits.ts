/**
 * The endpoint limits that one entry knows, from endpoints' answers and from other entries.
 *
 * @module
 */
import {
  type EndpointId,
  type EndpointLife,
  type Instant,
  instant,
  milliseconds,
} from "../ids/index.ts";
import { type EndpointRecord, isSameLife } from "../routes/index.ts";
import type { LimitNotice } from "./limit_messages.ts";

/** Maximum number of remembered endpoints. Each start of an endpoint may use a new id. */
const MAX_ENDPOINTS = 4_096;

/** An endpoint's latest statement about its limit. */
export interface KnownLimit {
  readonly endpoint: EndpointId;
  readonly life: EndpointLife | undefined;
  /** Requests per second, `undefined` if the endpoint has no limit. */
  readonly perSecond: number | undefined;
  readonly statedAt: Instant;
}

/** The newest statement of each endpoint. */
export class KnownLimits {
  readonly #limits = new Map<EndpointId, KnownLimit>();

  /** Number of endpoints that have a limit or recently had one. */
  get size(): number {
    return this.#limits.size;
  }

  all(): Iterable<KnownLimit> {
    return this.#limits.values();
  }

  get(endpoint: EndpointId): KnownLimit | undefined {
    return this.#limits.get(endpoint);
  }

  /** The limit of an endpoint in its given life, `undefined` if it has none. */
  limitOf({ id, life }: Pick<EndpointRecord, "id" | "life">):
    | number
    | undefined {
    const known = this.#limits.get(id);
    return known !== undefined && isSameLife(known, { life })
      ? known.perSecond
      : undefined;
  }

  /** Applies a statement unless a newer one is known. Returns whether the limit changed. */
  update(limit: KnownLimit): boolean {
    const known = this.#limits.get(limit.endpoint);
    const before = this.limitOf({ id: limit.endpoint, life: limit.life });
    if (known === undefined && limit.perSecond === undefined) {
      return false;
    }
    if (known !== undefined && isOlder(limit, known)) {
      return false;
    }
    this.#limits.delete(limit.endpoint);
    this.#limits.set(limit.endpoint, limit);
    this.#forgetOldest();
    return limit.perSecond !== before;
  }

  forget(endpoint: EndpointId): void {
    this.#limits.delete(endpoint);
  }

  #forgetOldest(): void {
    if (this.#limits.size > MAX_ENDPOINTS) {
      const [oldest] = this.#limits.keys();
      this.#limits.delete(oldest!);
    }
  }
}

/** Converts a statement to a notice for other entries. */
export function noticeOf(
  { endpoint, life, perSecond, statedAt }: KnownLimit,
  now: Instant,
): LimitNotice {
  const age = milliseconds(Math.max(0, now - statedAt));
  return { endpoint, life, perSecond, age };
}

/** Converts a notice from another entry to a statement. */
export function limitFromNotice(
  { endpoint, life, perSecond, age }: LimitNotice,
  now: Instant,
): KnownLimit {
  return { endpoint, life, perSecond, statedAt: instant(now - age) };
}

function isOlder(limit: KnownLimit, known: KnownLimit): boolean {
  return isSameLife(limit, known)
    ? limit.statedAt < known.statedAt
    : (limit.life ?? -Infinity) < (known.life ?? -Infinity);
}
