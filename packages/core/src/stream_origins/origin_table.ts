/**
 * The origins of streams that an entry knows.
 *
 * @module
 */
import {
  after,
  type Incarnation,
  type Instant,
  milliseconds,
  type StreamKey,
} from "../ids/index.ts";
import type { OriginGroup } from "./origin_messages.ts";
import { isSameOrigin, type StreamOrigin } from "./stream_origin.ts";

/** Most streams that an entry keeps; beyond it those that were added first are dropped. */
const MAX_STREAMS = 50_000;
const EXPIRY_PERIOD_MS = 1_000;

/** What is known about one stream. */
export interface OriginRecord {
  /** `undefined` if the origin is not known or in doubt. */
  readonly origin: StreamOrigin | undefined;
  /** Increases with each attempt of the request. A later record replaces an earlier one. */
  readonly revision: number;
  /** The entry that has the record copied to other entries. */
  readonly owner: Incarnation;
  /** When the caller can no longer take the stream up. */
  readonly expiresAt: Instant;
}

/** Keeps a record for each stream until it expires. */
export class OriginTable {
  readonly #records = new Map<StreamKey, OriginRecord>();
  #nextExpiryAt: Instant;

  constructor(now: Instant) {
    this.#nextExpiryAt = now;
  }

  get size(): number {
    return this.#records.size;
  }

  get(key: StreamKey): OriginRecord | undefined {
    return this.#records.get(key);
  }

  /** Adds a record, or renews the known one unless that is later. */
  put(key: StreamKey, record: OriginRecord): void {
    const known = this.#records.get(key);
    this.#records.set(key, known === undefined ? record : merge(known, record));
    if (this.#records.size > MAX_STREAMS) {
      const [oldest] = this.#records.keys();
      this.#records.delete(oldest!);
    }
  }

  /** Keys of the records of one owner. */
  keysOf(owner: Incarnation): StreamKey[] {
    const keys: StreamKey[] = [];
    for (const [key, record] of this.#records) {
      if (record.owner === owner) {
        keys.push(key);
      }
    }
    return keys;
  }

  owners(): ReadonlySet<Incarnation> {
    const owners = new Set<Incarnation>();
    for (const { owner } of this.#records.values()) {
      owners.add(owner);
    }
    return owners;
  }

  /** The records of the given keys that are known, by origin. */
  groups(keys: readonly StreamKey[], now: Instant): OriginGroup[] {
    const groups = new Map<
      string,
      { record: OriginRecord; keys: StreamKey[] }
    >();
    for (const key of keys) {
      const record = this.#records.get(key);
      if (record === undefined || record.expiresAt <= now) {
        continue;
      }
      const { origin, revision } = record;
      const name = origin === undefined
        ? ""
        : `${revision} ${origin.service} ${origin.version}`;
      const group = groups.get(name) ?? { record, keys: [] };
      group.keys.push(key);
      if (record.expiresAt > group.record.expiresAt) {
        group.record = record;
      }
      groups.set(name, group);
    }
    return [...groups.values()].map(({ record, keys }) => ({
      origin: record.origin,
      revision: record.revision,
      lifetime: milliseconds(record.expiresAt - now),
      keys,
    }));
  }

  /** Removes expired records. */
  tick(now: Instant): void {
    if (now < this.#nextExpiryAt) {
      return;
    }
    this.#nextExpiryAt = after(now, EXPIRY_PERIOD_MS);
    for (const [key, { expiresAt }] of this.#records) {
      if (expiresAt <= now) {
        this.#records.delete(key);
      }
    }
  }
}

/**
 * Merges two records of a stream. Records of the same revision that differ leave the origin in doubt: a caller used the
 * same id for two calls.
 */
function merge(known: OriginRecord, record: OriginRecord): OriginRecord {
  const newer = record.revision < known.revision ? known : record;
  const isDoubtful = record.revision === known.revision &&
    !isSameOrigin(known.origin, record.origin);
  return {
    origin: isDoubtful ? undefined : newer.origin,
    revision: newer.revision,
    owner: record.owner,
    expiresAt: known.expiresAt < record.expiresAt
      ? record.expiresAt
      : known.expiresAt,
  };
}
