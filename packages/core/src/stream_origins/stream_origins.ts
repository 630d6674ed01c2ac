/**
 * Knows which software version began each stream that a caller may take up, wherever that happens.
 *
 * The entry that sends a request to an endpoint records the origin of its stream, so that copies are at one entry of the
 * region and one of another when the first event arrives. An entry that is asked to continue a stream that it does not
 * know asks the others. So the cost of a stream does not grow with the fleet, and queries are as rare as streams that
 * break off at their entry.
 *
 * @module
 */
import type { FleetController } from "../fleet/index.ts";
import {
  after,
  type Incarnation,
  type Instant,
  type Randomness,
  type StreamKey,
} from "../ids/index.ts";
import { OriginLookups } from "./origin_lookups.ts";
import type { OriginMessage } from "./origin_messages.ts";
import type { ReplicaCandidates } from "./origin_replicas.ts";
import { OriginReplicator } from "./origin_replicator.ts";
import { type OriginRecord, OriginTable } from "./origin_table.ts";
import type { StreamOrigin } from "./stream_origin.ts";

/** Revision of a record that no attempt replaces. */
const FINAL_REVISION = 1_000;

/** Dependencies of `StreamOrigins`. */
export interface StreamOriginDependencies {
  readonly fleet: FleetController;
  readonly random: Randomness;
  /** Live entries that may keep copies of this entry's records. */
  readonly candidates: () => ReplicaCandidates;
  readonly send: (to: string, message: OriginMessage) => void;
}

/** The outcome of a search for a stream's origin. */
export type OriginSearch =
  | { readonly kind: "known"; readonly origin: StreamOrigin }
  /** A record states that it is not certain what began the stream. */
  | { readonly kind: "doubtful" }
  /** Other entries were asked. */
  | { readonly kind: "pending" }
  | { readonly kind: "unknown" };

/** Records, copies and finds the origins of streams. */
export class StreamOrigins {
  readonly #table: OriginTable;
  readonly #replicator: OriginReplicator;
  readonly #lookups: OriginLookups;
  readonly #self: Incarnation;
  readonly #send: (to: string, message: OriginMessage) => void;

  constructor(
    { fleet, random, candidates, send }: StreamOriginDependencies,
    now: Instant,
  ) {
    this.#table = new OriginTable(now);
    this.#self = fleet.record.incarnation;
    this.#send = send;
    this.#replicator = new OriginReplicator(
      { fleet, table: this.#table, candidates, send },
      now,
    );
    this.#lookups = new OriginLookups({
      self: fleet.record,
      members: () => fleet.possiblyLiveMembers().map(({ record }) => record),
      isJoining: (at) => fleet.isJoining(at),
      random,
      send,
    });
  }

  /** Number of streams whose origin is recorded here. */
  get size(): number {
    return this.#table.size;
  }

  /** Lookups since the start, and how many of them found nothing. */
  get lookups(): Readonly<{ started: number; failed: number }> {
    return this.#lookups.counts;
  }

  /**
   * Records the origin of a stream that its caller may take up until `expiresAt`. A record with a higher revision replaces
   * an earlier one; an unknown origin is one that is not known yet.
   */
  record(
    key: StreamKey,
    record: Omit<OriginRecord, "owner">,
    now: Instant,
  ): void {
    this.#replicator.add(key, record, now);
  }

  /** Records that it is not certain any more what began a stream, so that nobody continues it. */
  markDoubtful(key: StreamKey, expiresAt: Instant, now: Instant): void {
    const record = { origin: undefined, revision: FINAL_REVISION, expiresAt };
    this.#replicator.add(key, record, now);
  }

  /** Returns what began a stream, or asks other entries for it. */
  search(key: StreamKey, now: Instant): OriginSearch {
    const known = this.#table.get(key);
    if (known !== undefined && now < known.expiresAt) {
      return known.origin === undefined
        ? { kind: "doubtful" }
        : { kind: "known", origin: known.origin };
    }
    return this.#lookups.start(key, now)
      ? { kind: "pending" }
      : { kind: "unknown" };
  }

  /** Handles a message; returns the streams of which the origin was asked for and is known now. */
  receive(message: OriginMessage, now: Instant): StreamKey[] {
    switch (message.kind) {
      case "records":
        this.#replicator.receive(message, now);
        return [];
      case "confirmed":
        this.#replicator.confirm(message.from);
        return [];
      case "query":
        this.#answer(message, now);
        return [];
      case "missing":
        this.#lookups.noteMissing(message);
        return [];
      case "found":
        return message.groups.flatMap(({ lifetime, keys, ...group }) => {
          const record = { ...group, expiresAt: after(now, lifetime) };
          keys.forEach((key) => {
            this.#lookups.finish(key);
            this.#replicator.add(key, record, now);
          });
          return keys;
        });
    }
  }

  /** Sends what is due; returns the streams of which nobody knows the origin. */
  tick(now: Instant): StreamKey[] {
    this.#table.tick(now);
    this.#replicator.tick(now);
    return this.#lookups.tick(now);
  }

  #answer(
    query: Extract<OriginMessage, { kind: "query" }>,
    now: Instant,
  ): void {
    const groups = this.#table.groups(query.keys, now);
    if (groups.length > 0) {
      this.#send(query.replyTo, { kind: "found", groups });
    }
    const found = new Set(groups.flatMap(({ keys }) => keys));
    const keys = query.keys.filter((key) => !found.has(key));
    if (keys.length === 0) {
      return;
    }
    this.#send(query.replyTo, { kind: "missing", from: this.#self, keys });
    if (query.spread) {
      this.#lookups.spread(query);
    }
  }
}
