/**
 * The other entries, with their records, beats and health.
 *
 * @module
 */
import type { EntryIdentity, Member } from "../blackboard/index.ts";
import type { Incarnation, Instant, Revision } from "../ids/index.ts";
import type { StallAdjustedClockView } from "../listening/index.ts";
import type {
  CustomerDemand,
  Emit,
  MemberFreshness,
  MemberRecord,
  RelayedMemberRecord,
} from "../messages/index.ts";
import { DELEGATES_PER_ZONE } from "./heartbeat_plan.ts";

/** Heartbeat periods without a new beat after which a member of the same zone is suspect. */
const ZONE_SUSPECT_PERIODS = 8;
/** The same for the rest of the region, whose beats arrive through delegates. */
const REGION_SUSPECT_PERIODS = 24;
/** The same for other regions, where each additional member makes it take longer until its turn comes. */
const REMOTE_SUSPECT_PERIODS = 30;
const REMOTE_SUSPECT_PERIODS_PER_MEMBER = 0.5;
/** Periods after which a suspect is removed, because its VM was replaced. */
const REMOVE_PERIODS = 600;
/** Ended incarnations that are remembered; the oldest are dropped first. */
const MAX_ENDED_INCARNATIONS = 4_096;
/** Members kept for each zone of another region: its delegates, and one more while the delegates change. */
const MAX_REMOTE_MEMBERS_PER_ZONE = DELEGATES_PER_ZONE + 1;

/** Dependencies and storage of the table. */
export interface MemberTableOptions {
  readonly self: EntryIdentity;
  readonly emit: Emit;
  readonly clock: StallAdjustedClockView;
  /** Maps of the `membership` section, written only by this table. */
  readonly members: Map<Incarnation, Member>;
  readonly gone: Map<Incarnation, Instant>;
}

/** Maintains the other members with their beats and health. */
export class MemberTable {
  readonly #self: EntryIdentity;
  readonly #emit: Emit;
  readonly #clock: StallAdjustedClockView;
  readonly #members: Map<Incarnation, Member>;
  readonly #ended: Map<Incarnation, Instant>;

  constructor({ self, emit, clock, members, gone }: MemberTableOptions) {
    this.#self = self;
    this.#emit = emit;
    this.#clock = clock;
    this.#members = members;
    this.#ended = gone;
  }

  /** All live members. */
  live(): Member[] {
    return [...this.#members.values()].filter(({ health }) =>
      health === "live"
    );
  }

  get(incarnation: Incarnation): Member | undefined {
    return this.#members.get(incarnation);
  }

  /**
   * Applies a copy of a member's record if it is newer than the known one.
   *
   * A copy from a process that was paused, or one that took a slow path, is outdated. Applying it would make a
   * dead member look alive, or a stopping one look ready. Beats and versions only increase within an
   * incarnation, so an outdated copy is recognized without comparing clocks.
   */
  applyCopy({ record, beat }: RelayedMemberRecord, now: Instant): void {
    if (this.#isSelfOrEnded(record.incarnation)) {
      return;
    }
    const known = this.#members.get(record.incarnation);
    if (known === undefined) {
      this.#removePredecessors(record, now);
      this.#add({ record, beat }, now);
      this.#pruneRemoteZone(record);
      return;
    }
    if (record.version > known.record.version) {
      this.#members.set(record.incarnation, { ...known, record });
    }
    this.refresh({
      incarnation: record.incarnation,
      beat,
      version: record.version,
    }, now);
  }

  /** Updates a member's beat. Returns whether its record is needed. */
  refresh(
    { incarnation, beat, version }: MemberFreshness,
    now: Instant,
  ): boolean {
    if (this.#isSelfOrEnded(incarnation)) {
      return false;
    }
    const known = this.#members.get(incarnation);
    if (known === undefined) {
      return true;
    }
    if (beat > known.beat) {
      const returned = known.health === "suspect";
      this.#members.set(incarnation, {
        ...known,
        beat,
        heardAt: now,
        health: "live",
        liveSince: returned ? now : known.liveSince,
      });
      if (returned) {
        this.#logLive(known.record);
      }
    }
    return version > known.record.version;
  }

  /** Records a member's configuration revision and its demand, where that is given. */
  recordReport(
    incarnation: Incarnation,
    { revision, demand }: {
      revision: Revision;
      demand?: readonly CustomerDemand[];
    },
  ): void {
    const known = this.#members.get(incarnation);
    if (known !== undefined) {
      const highest = Math.max(known.revision, revision) as Revision;
      this.#members.set(incarnation, {
        ...known,
        revision: highest,
        demand: demand ?? known.demand,
      });
    }
  }

  /**
   * Suspects the member at a control address that refused a connection. Nothing listens there, so the process
   * has ended and the silence timeout is not awaited. A heartbeat from the member makes it live again.
   */
  refused(url: string): void {
    for (const member of this.live()) {
      if (member.record.controlUrl === url) {
        this.#suspect(member);
      }
    }
  }

  /** Suspects and eventually removes members that were not heard. */
  expireSilent(now: Instant, period: number): void {
    const remoteMemberCount =
      [...this.#members.values()].filter(({ record }) =>
        record.region !== this.#self.region
      ).length;
    for (const [incarnation, member] of this.#members) {
      // Stalls of this process don't count: heartbeats that arrived during one are yet to be read.
      const silence = this.#clock.since(member.heardAt, now);
      if (silence > period * REMOVE_PERIODS) {
        this.#members.delete(incarnation);
      } else if (
        member.health === "live" &&
        silence >
          period * this.#suspectPeriods(member.record, remoteMemberCount)
      ) {
        this.#suspect(member);
      }
    }
  }

  #isSelfOrEnded(incarnation: Incarnation): boolean {
    return incarnation === this.#self.incarnation ||
      this.#ended.has(incarnation);
  }

  #add({ record, beat }: RelayedMemberRecord, now: Instant): void {
    this.#members.set(record.incarnation, {
      record,
      beat,
      revision: 0 as Revision,
      demand: [],
      heardAt: now,
      health: "live",
      liveSince: now,
    });
    this.#logLive(record);
  }

  /**
   * Removes former incarnations with a record's address or id, and remembers them as ended: two processes
   * cannot listen at one address.
   */
  #removePredecessors(record: MemberRecord, now: Instant): void {
    for (const [incarnation, member] of this.#members) {
      if (
        member.record.controlUrl === record.controlUrl ||
        member.record.id === record.id
      ) {
        this.#members.delete(incarnation);
        this.#recordEnded(incarnation, now);
      }
    }
  }

  #recordEnded(incarnation: Incarnation, now: Instant): void {
    this.#ended.set(incarnation, now);
    if (this.#ended.size > MAX_ENDED_INCARNATIONS) {
      this.#ended.delete(this.#ended.keys().next().value!);
    }
  }

  /** Keeps only the last heard members of a zone of another region: those are its delegates. */
  #pruneRemoteZone({ zone, region }: MemberRecord): void {
    if (region === this.#self.region) {
      return;
    }
    const zoneMembers = [...this.#members.values()].filter((member) =>
      member.record.zone === zone
    );
    zoneMembers.sort((left, right) => right.heardAt - left.heardAt);
    for (const { record } of zoneMembers.slice(MAX_REMOTE_MEMBERS_PER_ZONE)) {
      this.#members.delete(record.incarnation);
    }
  }

  #suspect(member: Member): void {
    const { id, incarnation } = member.record;
    this.#members.set(incarnation, { ...member, health: "suspect" });
    this.#emit({
      kind: "log",
      part: "member",
      text: "Member is suspect.",
      fields: { id },
    });
  }

  #logLive({ id, zone }: MemberRecord): void {
    this.#emit({
      kind: "log",
      part: "member",
      text: "Member is live.",
      fields: { id, zone },
    });
  }

  #suspectPeriods(record: MemberRecord, remoteMemberCount: number): number {
    if (record.zone === this.#self.zone) {
      return ZONE_SUSPECT_PERIODS;
    }
    return record.region === this.#self.region
      ? REGION_SUSPECT_PERIODS
      : REMOTE_SUSPECT_PERIODS +
        remoteMemberCount * REMOTE_SUSPECT_PERIODS_PER_MEMBER;
  }
}
