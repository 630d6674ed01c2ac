/**
 * The other entries with their health, and the order in which updates about them are gossiped.
 *
 * @module
 */
import type { Incarnation, Instant } from "../ids/index.ts";
import type {
  EntryRecord,
  MemberHealth,
  MemberUpdate,
} from "./fleet_messages.ts";

/** How long a dead entry is remembered, so that a late update does not bring it back. */
const DEAD_RETENTION_MS = 60_000;
/** Updates are sent this many times the logarithm of the fleet's size, the known bound of gossip protocols. */
const RETRANSMIT_FACTOR = 3;

/** One other entry. */
export interface FleetMember {
  readonly record: EntryRecord;
  readonly health: MemberHealth;
  /** When the health last changed. */
  readonly since: Instant;
  /** When the last datagram from the entry itself arrived. */
  readonly heardAt: Instant;
}

interface GossipedMember extends FleetMember {
  heardAt: Instant;
  /** Number of messages that have carried the current record and health. */
  sendCount: number;
}

const HEALTH_RANK: Readonly<Record<MemberHealth, number>> = {
  live: 0,
  suspect: 1,
  dead: 2,
};

/** Keeps a record and a health for each incarnation. */
export class MembershipList {
  readonly #members = new Map<Incarnation, GossipedMember>();
  readonly #byHealth = new Map<MemberHealth, readonly FleetMember[]>();
  #possiblyLive: readonly FleetMember[] | undefined;
  #introductionCursor = 0;
  #version = 0;

  get size(): number {
    return this.#members.size;
  }

  /** Increases whenever a member, its record or its health changes, so that lists made from them can be kept. */
  get version(): number {
    return this.#version;
  }

  get(incarnation: Incarnation): FleetMember | undefined {
    return this.#members.get(incarnation);
  }

  all(): Iterable<FleetMember> {
    return this.#members.values();
  }

  withHealth(health: MemberHealth): readonly FleetMember[] {
    let members = this.#byHealth.get(health);
    if (members === undefined) {
      members = [...this.#members.values()].filter((member) =>
        member.health === health
      );
      this.#byHealth.set(health, members);
    }
    return members;
  }

  /** Members that are not known to be dead. */
  possiblyLive(): readonly FleetMember[] {
    this.#possiblyLive ??= [...this.#members.values()].filter(({ health }) =>
      health !== "dead"
    );
    return this.#possiblyLive;
  }

  /**
   * Marks a member as live after a datagram from the member itself, whatever others say.
   *
   * The copy with the higher version is kept. A dead incarnation that sends again was partitioned, unless
   * another incarnation is live at its address.
   */
  recordHeard(record: EntryRecord, now: Instant): void {
    const known = this.#members.get(record.incarnation);
    if (known?.health === "live" && known.record.version === record.version) {
      known.heardAt = now;
      return;
    }
    if (known?.health === "dead" && this.#hasLiveMemberAt(record)) {
      return;
    }
    if (known === undefined) {
      this.#markPredecessorsDead(record, now);
    }
    const newer = known === undefined || record.version >= known.record.version;
    this.#members.set(record.incarnation, {
      record: newer ? record : known.record,
      health: "live",
      since: known?.health === "live" ? known.since : now,
      heardAt: now,
      sendCount: 0,
    });
    this.#noteChange();
  }

  /** Applies an update from another entry. Returns whether it changed anything. */
  applyUpdate({ record, health }: MemberUpdate, now: Instant): boolean {
    const known = this.#members.get(record.incarnation);
    if (known === undefined) {
      if (health !== "live" || this.#hasLiveMemberAt(record)) {
        return false;
      }
      this.#markPredecessorsDead(record, now);
      this.#put({ record, health }, now);
      return true;
    }
    if (!overrides({ record, health }, known)) {
      return false;
    }
    this.#put({ record, health }, now, known);
    return true;
  }

  /** Sets the health that this entry assigns to a member. */
  setHealth(
    incarnation: Incarnation,
    health: MemberHealth,
    now: Instant,
  ): void {
    const known = this.#members.get(incarnation);
    if (known !== undefined && known.health !== health) {
      this.#put({ record: known.record, health }, now, known);
    }
  }

  /** Removes members that have been dead for longer than the retention time. */
  removeExpired(now: Instant): void {
    for (const [incarnation, { health, since }] of this.#members) {
      if (health === "dead" && now - since > DEAD_RETENTION_MS) {
        this.#members.delete(incarnation);
        this.#noteChange();
      }
    }
  }

  /** Returns the updates that were sent least often, and counts them as sent once more. */
  nextUpdates(count: number): MemberUpdate[] {
    const maxSends = RETRANSMIT_FACTOR *
      Math.ceil(Math.log2(this.#members.size + 2));
    const pending = [...this.#members.values()].filter(({ sendCount }) =>
      sendCount < maxSends
    );
    pending.sort((left, right) => left.sendCount - right.sendCount);
    return pending.slice(0, count).map((member) => {
      member.sendCount++;
      return { record: member.record, health: member.health };
    });
  }

  /** Returns updates for a new member: the usual ones, filled up with other live members in turn. */
  updatesForNewcomer(count: number): MemberUpdate[] {
    const updates = this.nextUpdates(count);
    const included = new Set(updates.map(({ record }) => record.incarnation));
    const others = this.withHealth("live").filter(({ record }) =>
      !included.has(record.incarnation)
    );
    const remaining = Math.min(count - updates.length, others.length);
    for (let index = 0; index < remaining; index++) {
      const { record, health } =
        others[this.#introductionCursor++ % others.length]!;
      updates.push({ record, health });
    }
    return updates;
  }

  #put(
    { record, health }: MemberUpdate,
    now: Instant,
    known?: FleetMember,
  ): void {
    this.#members.set(record.incarnation, {
      record,
      health,
      since: known?.health === health ? known.since : now,
      heardAt: known?.heardAt ?? now,
      sendCount: 0,
    });
    this.#noteChange();
  }

  #noteChange(): void {
    this.#version++;
    this.#byHealth.clear();
    this.#possiblyLive = undefined;
  }

  /** Marks former incarnations at a record's address as dead: two processes cannot listen there. */
  #markPredecessorsDead(record: EntryRecord, now: Instant): void {
    for (const [incarnation, member] of this.#members) {
      if (
        member.record.peerAddress === record.peerAddress &&
        incarnation !== record.incarnation
      ) {
        this.setHealth(incarnation, "dead", now);
      }
    }
  }

  /**
   * Whether a member is live at a record's address. A late update about a former incarnation must not
   * replace that member.
   */
  #hasLiveMemberAt(record: EntryRecord): boolean {
    return [...this.#members.values()].some((member) =>
      member.health === "live" &&
      member.record.peerAddress === record.peerAddress
    );
  }
}

/** A higher version wins. At the same version the worse health wins until the member refutes it. */
function overrides(update: MemberUpdate, known: MemberUpdate): boolean {
  if (known.health === "dead" && update.health !== "dead") {
    return update.record.version > known.record.version;
  }
  if (update.record.version !== known.record.version) {
    return update.record.version > known.record.version;
  }
  return HEALTH_RANK[update.health] > HEALTH_RANK[known.health];
}
