/**
 * Copies an entry's records to its replicas, and takes over the records of entries that have ended.
 *
 * @module
 */
import type { FleetController } from "../fleet/index.ts";
import {
  after,
  type Incarnation,
  type Instant,
  type StreamKey,
} from "../ids/index.ts";
import type { OriginMessage } from "./origin_messages.ts";
import { CopyBudget } from "./copy_budget.ts";
import { OriginReplicas, type ReplicaCandidates } from "./origin_replicas.ts";
import type { OriginRecord, OriginTable } from "./origin_table.ts";
import { isSameOrigin } from "./stream_origin.ts";

/** Replicas are chosen anew at most this often while the membership changes. */
const CHOICE_PERIOD_MS = 200;
/** Keeps a datagram under 1,400 bytes. */
const MAX_KEYS_PER_MESSAGE = 90;

/** Dependencies of `OriginReplicator`. */
export interface ReplicatorDependencies {
  readonly fleet: FleetController;
  readonly table: OriginTable;
  /** Live entries that may keep copies. */
  readonly candidates: () => ReplicaCandidates;
  readonly send: (to: string, message: OriginMessage) => void;
}

/** Keeps copies of this entry's records at other entries. */
export class OriginReplicator {
  readonly #deps: ReplicatorDependencies;
  readonly #self: Incarnation;
  readonly #replicas: OriginReplicas;
  readonly #budget: CopyBudget;
  #unsent: StreamKey[] = [];
  #nextChoiceAt: Instant;
  /** The membership for which replicas were chosen. */
  #membership: ReplicaCandidates | undefined;

  constructor(deps: ReplicatorDependencies, now: Instant) {
    this.#deps = deps;
    const { incarnation, zone } = deps.fleet.record;
    this.#self = incarnation;
    this.#replicas = new OriginReplicas({ incarnation, zone });
    this.#budget = new CopyBudget(now);
    this.#nextChoiceAt = now;
  }

  /** Keeps a record of this entry and copies it, at once where the budget allows it or it corrects an earlier one. */
  add(
    key: StreamKey,
    record: Omit<OriginRecord, "owner">,
    now: Instant,
  ): void {
    const { table } = this.#deps;
    const known = table.get(key);
    const isCorrection = known !== undefined &&
      !isSameOrigin(known.origin, record.origin);
    table.put(key, { ...record, owner: this.#self });
    this.#unsent.push(key);
    const replicas = this.#replicas.current.length;
    if (isCorrection || this.#budget.allowsSingle(replicas, now)) {
      this.#sendUnsent(now);
    }
  }

  /** Keeps the records of another entry. */
  receive(
    { from, groups, confirmTo }: Extract<OriginMessage, { kind: "records" }>,
    now: Instant,
  ): void {
    for (const { origin, revision, lifetime, keys } of groups) {
      const expiresAt = after(now, lifetime);
      const record = { origin, revision, expiresAt, owner: from };
      keys.forEach((key) => this.#deps.table.put(key, record));
    }
    if (confirmTo !== undefined) {
      this.#deps.send(confirmTo, { kind: "confirmed", from: this.#self });
    }
  }

  confirm(incarnation: Incarnation): void {
    this.#replicas.confirm(incarnation);
  }

  tick(now: Instant): void {
    this.#updateReplicas(now);
    this.#copyToUnconfirmed(now);
    const size = {
      keys: this.#unsent.length,
      replicas: this.#replicas.current.length,
    };
    if (this.#budget.allows(size, now)) {
      this.#sendUnsent(now);
    }
  }

  #updateReplicas(now: Instant): void {
    if (now < this.#nextChoiceAt) {
      return;
    }
    const membership = this.#deps.candidates();
    if (membership !== this.#membership || this.#replicas.isChoiceDue(now)) {
      this.#nextChoiceAt = after(now, CHOICE_PERIOD_MS);
      this.#membership = membership;
      this.#replicas.choose(membership, now);
      this.#adoptOrphans();
    }
  }

  /**
   * Takes over the records of entries that have ended. Without this, a record would be lost once its owner and both
   * replicas have been replaced, one after the other.
   */
  #adoptOrphans(): void {
    const { fleet, table } = this.#deps;
    const alive = new Set<Incarnation>([
      this.#self,
      ...fleet.possiblyLiveMembers().map(({ record }) => record.incarnation),
    ]);
    for (const owner of table.owners()) {
      if (alive.has(owner)) {
        continue;
      }
      for (const key of table.keysOf(owner)) {
        table.put(key, { ...table.get(key)!, owner: this.#self });
        this.#unsent.push(key);
      }
    }
  }

  #copyToUnconfirmed(now: Instant): void {
    const due = this.#replicas.takeUnconfirmed(now);
    if (due.length > 0) {
      const keys = this.#deps.table.keysOf(this.#self);
      due.forEach(({ address }) =>
        this.#sendRecords([address], { keys, isCopy: true }, now)
      );
    }
  }

  #sendUnsent(now: Instant): void {
    const { current } = this.#replicas;
    const keys = this.#unsent;
    this.#unsent = [];
    // The next replica gets a copy of all records.
    if (keys.length === 0 || current.length === 0) {
      return;
    }
    this.#budget.take({ keys: keys.length, replicas: current.length });
    const addresses = current.map(({ address }) => address);
    this.#sendRecords(addresses, { keys, isCopy: false }, now);
  }

  /** Sends records in as many datagrams as needed; a copy of all records has its last datagram confirmed. */
  #sendRecords(
    addresses: readonly string[],
    { keys, isCopy }: { keys: readonly StreamKey[]; isCopy: boolean },
    now: Instant,
  ): void {
    const { fleet, table, send } = this.#deps;
    let sent = 0;
    do {
      const part = keys.slice(sent, sent + MAX_KEYS_PER_MESSAGE);
      sent += MAX_KEYS_PER_MESSAGE;
      const isLast = sent >= keys.length;
      const message: OriginMessage = {
        kind: "records",
        from: this.#self,
        groups: table.groups(part, now),
        confirmTo: isCopy && isLast ? fleet.record.peerAddress : undefined,
      };
      addresses.forEach((address) => send(address, message));
    } while (sent < keys.length);
  }
}
