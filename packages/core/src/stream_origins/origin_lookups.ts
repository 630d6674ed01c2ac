/**
 * Asks other entries for the origins of streams that this entry does not know.
 *
 * @module
 */
import type { EntryRecord } from "../fleet/index.ts";
import {
  after,
  type Incarnation,
  type Instant,
  type Randomness,
  type RegionId,
  sample,
  type StreamKey,
} from "../ids/index.ts";
import type { OriginMessage } from "./origin_messages.ts";

/**
 * Time after which a stream counts as unknown: an answer from another region and a second query fit in, in case that a
 * datagram is lost.
 */
const LOOKUP_TIMEOUT_MS = 450;
/**
 * Time after which other regions are asked. Most streams are taken up in the region that began them, whose entries
 * answer before.
 */
const REMOTE_DELAY_MS = 20;
const REPEAT_DELAY_MS = 75;
/** Entries of each other region that are asked: one of them may have ended a moment ago. */
const DELEGATES_PER_REGION = 2;

/** Dependencies of `OriginLookups`. */
export interface LookupDependencies {
  readonly self: EntryRecord;
  /** Entries of this region and of others that may know a stream. */
  readonly members: () => readonly EntryRecord[];
  /** Whether further members may turn up, because this entry has just started. */
  readonly isJoining: (now: Instant) => boolean;
  readonly random: Randomness;
  readonly send: (to: string, message: OriginMessage) => void;
}

interface Lookup {
  readonly endsAt: Instant;
  nextLocalAt: Instant;
  nextRemoteAt: Instant;
  /** Entries that do not know the stream. */
  readonly deniedBy: Set<Incarnation>;
}

/** The queries that have not been answered. */
export class OriginLookups {
  /** Lookups since the start, and how many of them found nothing. */
  readonly counts = { started: 0, failed: 0 };
  readonly #deps: LookupDependencies;
  readonly #lookups = new Map<StreamKey, Lookup>();

  constructor(deps: LookupDependencies) {
    this.#deps = deps;
  }

  /** Asks for a stream. Returns whether an answer is possible. */
  start(key: StreamKey, now: Instant): boolean {
    if (this.#deps.members().length === 0 && !this.#deps.isJoining(now)) {
      return false;
    }
    if (!this.#lookups.has(key)) {
      this.counts.started++;
      this.#lookups.set(key, {
        endsAt: after(now, LOOKUP_TIMEOUT_MS),
        nextLocalAt: now,
        nextRemoteAt: after(now, REMOTE_DELAY_MS),
        deniedBy: new Set(),
      });
      this.#sendQueries(now);
    }
    return true;
  }

  /** Ends the lookup of a stream that is known now. */
  finish(key: StreamKey): void {
    this.#lookups.delete(key);
  }

  /** Notes that an entry does not know streams. */
  noteMissing(
    { from, keys }: Extract<OriginMessage, { kind: "missing" }>,
  ): void {
    keys.forEach((key) => this.#lookups.get(key)?.deniedBy.add(from));
  }

  /** Repeats queries; returns the streams that nobody knows. */
  tick(now: Instant): StreamKey[] {
    const failed: StreamKey[] = [];
    for (const [key, lookup] of this.#lookups) {
      if (now >= lookup.endsAt || this.#isDeniedByAll(lookup, now)) {
        this.#lookups.delete(key);
        failed.push(key);
      }
    }
    this.counts.failed += failed.length;
    this.#sendQueries(now);
    return failed;
  }

  /** Passes a query on to the other entries of this region. */
  spread(
    { replyTo, keys }: Extract<OriginMessage, { kind: "query" }>,
  ): void {
    const query: OriginMessage = {
      kind: "query",
      replyTo,
      keys,
      spread: false,
    };
    this.#neighbours().forEach(({ peerAddress }) =>
      this.#deps.send(peerAddress, query)
    );
  }

  /** Whether no further answer can name the stream. An entry of an earlier version never denies one. */
  #isDeniedByAll({ deniedBy }: Lookup, now: Instant): boolean {
    const { members, isJoining } = this.#deps;
    return deniedBy.size > 0 && !isJoining(now) &&
      members().every(({ incarnation }) => deniedBy.has(incarnation));
  }

  #sendQueries(now: Instant): void {
    if (this.#lookups.size === 0) {
      return;
    }
    const local: StreamKey[] = [];
    const remote: StreamKey[] = [];
    for (const [key, lookup] of this.#lookups) {
      if (now >= lookup.nextLocalAt) {
        lookup.nextLocalAt = after(now, REPEAT_DELAY_MS);
        local.push(key);
      }
      if (now >= lookup.nextRemoteAt) {
        lookup.nextRemoteAt = after(now, REPEAT_DELAY_MS);
        remote.push(key);
      }
    }
    if (local.length > 0) {
      this.#query(this.#neighbours(), { keys: local, spread: false });
    }
    if (remote.length > 0) {
      this.#query(this.#delegates(), { keys: remote, spread: true });
    }
  }

  #query(
    to: readonly EntryRecord[],
    { keys, spread }: { keys: readonly StreamKey[]; spread: boolean },
  ): void {
    const replyTo = this.#deps.self.peerAddress;
    const query: OriginMessage = { kind: "query", replyTo, keys, spread };
    to.forEach(({ peerAddress }) => this.#deps.send(peerAddress, query));
  }

  #neighbours(): EntryRecord[] {
    const { members, self } = this.#deps;
    return members().filter(({ region }) => region === self.region);
  }

  /** Entries of each other region, others each time. */
  #delegates(): EntryRecord[] {
    const { members, self, random } = this.#deps;
    const byRegion = new Map<RegionId, EntryRecord[]>();
    for (const record of members()) {
      if (record.region !== self.region) {
        const others = byRegion.get(record.region) ?? [];
        others.push(record);
        byRegion.set(record.region, others);
      }
    }
    return [...byRegion.values()].flatMap((others) =>
      sample(others, DELEGATES_PER_REGION, random)
    );
  }
}
