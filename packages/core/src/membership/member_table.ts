/**
 * What is known of other entries.
 *
 * @module
 */
import type { Member, Self } from "../blackboard/index.ts";
import type { Incarnation, Instant, Revision } from "../ids/index.ts";
import type { ListenedTimeView } from "../listening/index.ts";
import type {
  Demand,
  Emit,
  Freshness,
  MemberCopy,
  MemberRecord,
} from "../messages/index.ts";
import { DELEGATES_PER_ZONE } from "./heartbeat_plan.ts";

/** Heartbeat periods without news after which a member of the own zone is suspect. */
const ZONE_SUSPECT_PERIODS = 8;
/** The same for the own region, whose news come through delegates. */
const REGION_SUSPECT_PERIODS = 24;
/** The same for other regions, where each further member makes the round of news longer. */
const FAR_SUSPECT_PERIODS = 30;
const FAR_SUSPECT_PERIODS_PER_MEMBER = 0.5;
/** Periods after which a suspect is forgotten: its VM was replaced. */
const FORGET_PERIODS = 600;
/** Ended incarnations kept in mind, oldest dropped first. */
const MAX_GONE = 4_096;
/** Members of one zone of another region that are kept: its delegates and one more while they change. */
const MAX_FAR_MEMBERS_PER_ZONE = DELEGATES_PER_ZONE + 1;

/** What the table is made with. */
export interface MemberTableOptions {
  readonly self: Self;
  readonly emit: Emit;
  readonly listened: ListenedTimeView;
  /** The section's maps, which this table alone writes. */
  readonly members: Map<Incarnation, Member>;
  readonly gone: Map<Incarnation, Instant>;
}

/** Keeps members, their beats and their health. */
export class MemberTable {
  readonly #self: Self;
  readonly #emit: Emit;
  readonly #listened: ListenedTimeView;
  readonly #members: Map<Incarnation, Member>;
  readonly #gone: Map<Incarnation, Instant>;

  constructor({ self, emit, listened, members, gone }: MemberTableOptions) {
    this.#self = self;
    this.#emit = emit;
    this.#listened = listened;
    this.#members = members;
    this.#gone = gone;
  }

  /** All members that are heard. */
  live(): Member[] {
    return [...this.#members.values()].filter(({ health }) =>
      health === "live"
    );
  }

  get(incarnation: Incarnation): Member | undefined {
    return this.#members.get(incarnation);
  }

  /**
   * Takes a record if it is newer than what is known.
   *
   * A process that was paused, or a record that was passed on along a slow way, brings an old state.
   * Taking it would make a dead member look alive, or a stopping one look ready. Beats and versions
   * only grow within an incarnation, so an old record is recognised without any clock.
   */
  learn({ record, beat }: MemberCopy, now: Instant): void {
    if (this.#isNone(record.incarnation)) {
      return;
    }
    const known = this.#members.get(record.incarnation);
    if (known === undefined) {
      this.#retireNamesakes(record, now);
      this.#add({ record, beat }, now);
      this.#pruneFar(record);
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

  /** Refreshes a member by its beat; tells whether its record is wanted. */
  refresh({ incarnation, beat, version }: Freshness, now: Instant): boolean {
    if (this.#isNone(incarnation)) {
      return false;
    }
    const known = this.#members.get(incarnation);
    if (known === undefined) {
      return true;
    }
    if (beat > known.beat) {
      const back = known.health === "suspect";
      this.#members.set(incarnation, {
        ...known,
        beat,
        heardAt: now,
        health: "live",
        liveSince: back ? now : known.liveSince,
      });
      if (back) {
        this.#logLive(known.record);
      }
    }
    return version > known.record.version;
  }

  /** Notes what a member said of itself beside its record. */
  noteWord(
    incarnation: Incarnation,
    { revision, demand }: { revision: Revision; demand?: readonly Demand[] },
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
   * A control address refused the connection: nothing listens there, so the process has ended. Its
   * silence need not be waited out; a heartbeat of its own brings it back.
   */
  refused(url: string): void {
    for (const member of this.live()) {
      if (member.record.controlUrl === url) {
        this.#suspect(member);
      }
    }
  }

  /** Suspects and forgets who was not heard for long. */
  age(now: Instant, period: number): void {
    const far =
      [...this.#members.values()].filter(({ record }) =>
        record.region !== this.#self.region
      ).length;
    for (const [incarnation, member] of this.#members) {
      // Heartbeats that came during a pause of this process are yet to be read.
      const silence = this.#listened.since(member.heardAt, now);
      if (silence > period * FORGET_PERIODS) {
        this.#members.delete(incarnation);
      } else if (
        member.health === "live" &&
        silence > period * this.#suspectPeriods(member.record, far)
      ) {
        this.#suspect(member);
      }
    }
  }

  #isNone(incarnation: Incarnation): boolean {
    return incarnation === this.#self.incarnation ||
      this.#gone.has(incarnation);
  }

  #add({ record, beat }: MemberCopy, now: Instant): void {
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

  /** A new life at the same address, or of the same name, ends the former one: two cannot listen there. */
  #retireNamesakes(record: MemberRecord, now: Instant): void {
    for (const [incarnation, member] of this.#members) {
      if (
        member.record.controlUrl === record.controlUrl ||
        member.record.id === record.id
      ) {
        this.#members.delete(incarnation);
        this.#noteGone(incarnation, now);
      }
    }
  }

  #noteGone(incarnation: Incarnation, now: Instant): void {
    this.#gone.set(incarnation, now);
    if (this.#gone.size > MAX_GONE) {
      this.#gone.delete(this.#gone.keys().next().value!);
    }
  }

  /** Of another region's zone only those last heard are kept: they are its delegates. */
  #pruneFar({ zone, region }: MemberRecord): void {
    if (region === this.#self.region) {
      return;
    }
    const ofZone = [...this.#members.values()].filter((member) =>
      member.record.zone === zone
    );
    ofZone.sort((left, right) => right.heardAt - left.heardAt);
    for (const { record } of ofZone.slice(MAX_FAR_MEMBERS_PER_ZONE)) {
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

  #suspectPeriods(record: MemberRecord, farMembers: number): number {
    if (record.zone === this.#self.zone) {
      return ZONE_SUSPECT_PERIODS;
    }
    return record.region === this.#self.region
      ? REGION_SUSPECT_PERIODS
      : FAR_SUSPECT_PERIODS + farMembers * FAR_SUSPECT_PERIODS_PER_MEMBER;
  }
}
