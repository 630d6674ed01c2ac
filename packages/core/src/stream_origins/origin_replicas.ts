/**
 * Chooses the entries that keep copies of an entry's records, and checks that they do.
 *
 * @module
 */
import type { EntryRecord } from "../fleet/index.ts";
import {
  after,
  type Incarnation,
  type Instant,
  rendezvous,
} from "../ids/index.ts";

/** Copies of each record. One entry, one availability zone or one region may be lost at a time. */
const REPLICA_COUNT = 2;
const CONFIRMATION_TIMEOUT_MS = 500;
/** Attempts to have a new replica confirm its copy. Entries of earlier versions ignore these messages. */
const MAX_ATTEMPTS = 4;
/** Time until an entry that did not confirm is chosen again. */
const EXCLUSION_MS = 30_000;

/** An entry that keeps copies. */
export interface OriginReplica {
  readonly incarnation: Incarnation;
  readonly address: string;
}

interface TrackedReplica extends OriginReplica {
  confirmed: boolean;
  attempts: number;
  nextAttemptAt: Instant;
}

/** The entries that may keep copies. */
export interface ReplicaCandidates {
  /** Other entries of this entry's region. */
  readonly near: readonly EntryRecord[];
  /** Entries of other regions. */
  readonly far: readonly EntryRecord[];
}

/** The replicas of one entry. */
export class OriginReplicas {
  readonly #self: Pick<EntryRecord, "incarnation" | "zone">;
  #replicas: TrackedReplica[] = [];
  readonly #excludedUntil = new Map<Incarnation, Instant>();

  constructor(self: Pick<EntryRecord, "incarnation" | "zone">) {
    this.#self = self;
  }

  get current(): readonly OriginReplica[] {
    return this.#replicas;
  }

  /** Chooses replicas from the candidates. Those that are still the best choice stay. */
  choose(candidates: ReplicaCandidates, now: Instant): void {
    for (const [incarnation, until] of this.#excludedUntil) {
      if (until <= now) {
        this.#excludedUntil.delete(incarnation);
      }
    }
    const chosen = this.#chooseRecords(candidates);
    this.#replicas = chosen.map((record) =>
      this.#replicas.find(({ incarnation }) =>
        incarnation === record.incarnation
      ) ?? {
        incarnation: record.incarnation,
        address: record.peerAddress,
        confirmed: false,
        attempts: 0,
        nextAttemptAt: now,
      }
    );
  }

  /** Returns replicas that have to be sent all records, since they have not confirmed a copy. */
  takeUnconfirmed(now: Instant): OriginReplica[] {
    const due = this.#replicas.filter(({ confirmed, nextAttemptAt }) =>
      !confirmed && now >= nextAttemptAt
    );
    for (const replica of due) {
      replica.attempts++;
      replica.nextAttemptAt = after(now, CONFIRMATION_TIMEOUT_MS);
      if (replica.attempts > MAX_ATTEMPTS) {
        this.#excludedUntil.set(
          replica.incarnation,
          after(now, EXCLUSION_MS),
        );
      }
    }
    return due.filter(({ attempts }) => attempts <= MAX_ATTEMPTS);
  }

  /** Whether a replica was excluded that is still in use, or an exclusion has ended. */
  isChoiceDue(now: Instant): boolean {
    return this.#replicas.some(({ incarnation }) =>
      this.#excludedUntil.has(incarnation)
    ) || [...this.#excludedUntil.values()].some((until) => until <= now);
  }

  confirm(incarnation: Incarnation): void {
    for (const replica of this.#replicas) {
      if (replica.incarnation === incarnation) {
        replica.confirmed = true;
      }
    }
  }

  /** One entry of this region, in another zone if possible, and one of another region; or two of either. */
  #chooseRecords({ near, far }: ReplicaCandidates): EntryRecord[] {
    const { incarnation, zone } = this.#self;
    const rank = (records: readonly EntryRecord[]): EntryRecord[] =>
      rendezvous(
        `origins ${incarnation}`,
        records.filter((record) =>
          !this.#excludedUntil.has(record.incarnation)
        ),
        (record) => record.incarnation,
      );
    const ranked = rank(near);
    const nearby = [
      ...ranked.filter((record) => record.zone !== zone),
      ...ranked.filter((record) => record.zone === zone),
    ];
    const remote = rank(far);
    const first = [...nearby.slice(0, 1), ...remote.slice(0, 1)];
    const rest = [...nearby.slice(1), ...remote.slice(1)];
    return [...first, ...rest].slice(0, REPLICA_COUNT);
  }
}
