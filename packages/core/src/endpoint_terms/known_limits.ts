/**
 * Limits of endpoints as one entry knows them, by their answers and by what others tell.
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

/** Endpoints that are remembered; each start of one may have an id of its own. */
const MOST_ENDPOINTS = 4_096;

/** One endpoint's limit. */
export interface KnownLimit {
  readonly endpoint: EndpointId;
  readonly life: EndpointLife | undefined;
  /** Requests a second, `undefined` where it has none. */
  readonly perSecond: number | undefined;
  readonly statedAt: Instant;
}

/** Keeps the newest statement of each endpoint. */
export class KnownLimits {
  readonly #limits = new Map<EndpointId, KnownLimit>();

  /** Endpoints that have a limit, or had one a while ago. */
  get size(): number {
    return this.#limits.size;
  }

  all(): Iterable<KnownLimit> {
    return this.#limits.values();
  }

  get(endpoint: EndpointId): KnownLimit | undefined {
    return this.#limits.get(endpoint);
  }

  /** The limit of this life of an endpoint. */
  of({ id, life }: Pick<EndpointRecord, "id" | "life">):
    | number
    | undefined {
    const known = this.#limits.get(id);
    return known !== undefined && isSameLife(known, { life })
      ? known.perSecond
      : undefined;
  }

  /** Takes a statement. Returns whether the limit is another one now. */
  learn(news: KnownLimit): boolean {
    const known = this.#limits.get(news.endpoint);
    const before = this.of({ id: news.endpoint, life: news.life });
    if (known === undefined && news.perSecond === undefined) {
      return false;
    }
    if (known !== undefined && isOlder(news, known)) {
      return false;
    }
    this.#limits.delete(news.endpoint);
    this.#limits.set(news.endpoint, news);
    this.#forgetOldest();
    return news.perSecond !== before;
  }

  forget(endpoint: EndpointId): void {
    this.#limits.delete(endpoint);
  }

  #forgetOldest(): void {
    if (this.#limits.size > MOST_ENDPOINTS) {
      const [oldest] = this.#limits.keys();
      this.#limits.delete(oldest!);
    }
  }
}

/** A statement as it is told to others. */
export function noticeOf(
  { endpoint, life, perSecond, statedAt }: KnownLimit,
  now: Instant,
): LimitNotice {
  const age = milliseconds(Math.max(0, now - statedAt));
  return { endpoint, life, perSecond, age };
}

/** A statement that another entry told. */
export function knownOf(
  { endpoint, life, perSecond, age }: LimitNotice,
  now: Instant,
): KnownLimit {
  return { endpoint, life, perSecond, statedAt: instant(now - age) };
}

function isOlder(news: KnownLimit, known: KnownLimit): boolean {
  return isSameLife(news, known)
    ? news.statedAt < known.statedAt
    : (news.life ?? -Infinity) < (known.life ?? -Infinity);
}
