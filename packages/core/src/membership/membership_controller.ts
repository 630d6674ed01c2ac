/**
 * Who else is an entry of the fleet and alive.
 *
 * @module
 */
import type {
  Blackboard,
  KnownZone,
  Member,
  MembershipView,
  Writable,
} from "../blackboard/index.ts";
import {
  after,
  type EndpointId,
  type Incarnation,
  type Instant,
  type Revision,
  type ZoneId,
} from "../ids/index.ts";
import type { ListenedTimeView } from "../listening/index.ts";
import type {
  Emit,
  Heartbeat,
  HeartbeatReply,
  LeavingNews,
  ListedVm,
  MemberCopy,
  MemberRecord,
} from "../messages/index.ts";
import { HeartbeatContent } from "./heartbeat_content.ts";
import { planHeartbeat } from "./heartbeat_plan.ts";
import { MemberTable } from "./member_table.ts";
import { pickFrom } from "./pick_from.ts";
import { ZoneTable } from "./zone_table.ts";

const RECORDS_PER_HEARTBEAT = 4;
/** From so many known members on, heartbeats go half as often: there is more to tell in each. */
const MANY_MEMBERS = 20;
const MANY_MEMBERS_SCALE = 2;
/** How long news of a leaving endpoint are passed on. */
export const LEAVING_NEWS_MS = 30_000;
/** Every so many beats an address is tried from which nobody was heard. */
const UNHEARD_EVERY_BEATS = 5;

/** Section of a new entry. */
export interface MembershipSection extends Writable<MembershipView> {
  members: Map<Incarnation, Member>;
  gone: Map<Incarnation, Instant>;
  zones: Map<ZoneId, KnownZone>;
}

/** First section of a new entry. */
export function createMembership(): MembershipSection {
  return { members: new Map(), gone: new Map(), zones: new Map(), beat: 0 };
}

/** Writes the `membership` section. */
export class MembershipController {
  readonly #board: Blackboard;
  readonly #section: MembershipSection;
  readonly #emit: Emit;
  readonly #members: MemberTable;
  readonly #zones: ZoneTable;
  readonly #content: HeartbeatContent;
  /** Records that peers asked for, by control address. */
  readonly #wanted = new Map<string, readonly Incarnation[]>();
  /** Version of the own record that each address has. */
  readonly #told = new Map<string, number>();
  readonly #leavingNews = new Map<EndpointId, Instant>();
  #listedUrls: readonly string[] = [];
  #nextBeatAt: Instant;

  constructor(
    board: Blackboard,
    section: MembershipSection,
    { emit, listened, now }: {
      emit: Emit;
      listened: ListenedTimeView;
      now: Instant;
    },
  ) {
    this.#board = board;
    this.#section = section;
    this.#emit = emit;
    this.#members = new MemberTable({
      self: board.self,
      emit,
      listened,
      members: section.members,
      gone: section.gone,
    });
    this.#zones = new ZoneTable(board.self, section.zones);
    this.#content = new HeartbeatContent(board, {
      members: this.#members,
      zones: this.#zones,
    });
    this.#nextBeatAt = now;
  }

  /** Sends heartbeats that are due and ages what was heard. */
  tick(now: Instant): void {
    if (now < this.#nextBeatAt) {
      return;
    }
    this.#nextBeatAt = after(now, this.#period());
    this.#section.beat++;
    this.#members.age(now, this.#period());
    this.#sendBeats(now);
  }

  /** Answers a heartbeat of a peer. */
  receive(heartbeat: Heartbeat, now: Instant): HeartbeatReply {
    const { from, records, freshness, revision, demand, news } = heartbeat;
    records.forEach((copy) => this.#members.learn(copy, now));
    const wanted = [from, ...freshness].filter((item) =>
      this.#members.refresh(item, now)
    );
    this.#members.noteWord(from.incarnation, { revision, demand });
    news.forEach((item) => this.#zones.learn(item, now));
    const introduced = records.some(({ record }) =>
      record.incarnation === from.incarnation
    );
    return {
      from: this.#content.ownFreshness(now),
      revision: this.#board.configuration.revision,
      rejected: rejectedOf(this.#board),
      record: introduced ? this.#content.ownRecord(now) : undefined,
      wanted: wanted.map(({ incarnation }) => incarnation).slice(
        0,
        RECORDS_PER_HEARTBEAT,
      ),
      leaving: this.#freshLeaving(now),
    };
  }

  /** Takes the answer to a heartbeat of ours. */
  replied(
    { from, revision, record, wanted }: HeartbeatReply,
    now: Instant,
  ): void {
    if (record !== undefined) {
      this.#members.learn({ record, beat: from.beat }, now);
    }
    const unknown = this.#members.refresh(from, now);
    this.#members.noteWord(from.incarnation, { revision });
    const url = this.#members.get(from.incarnation)?.record.controlUrl;
    if (url === undefined) {
      return;
    }
    this.#wanted.set(url, wanted);
    if (unknown || wanted.includes(this.#board.self.incarnation)) {
      // Introduce ourselves anew: the answer to that brings the peer's record.
      this.#told.delete(url);
    }
  }

  /** A control address refused the connection. */
  refused(url: string): void {
    this.#told.delete(url);
    this.#members.refused(url);
  }

  /** Takes entries of the VM list as addresses to try; a listed entry is not yet a live one. */
  listed(vms: readonly ListedVm[]): void {
    const entries = vms.filter((vm) =>
      vm.role === "entry" && vm.state === "live"
    );
    this.#listedUrls = entries.flatMap((vm) => vm.controlUrl ?? []);
  }

  /** Tells the whole region of a leaving endpoint at once, and goes on telling for a while. */
  announceLeaving(endpoint: EndpointId, now: Instant): void {
    if (!this.#leavingNews.has(endpoint)) {
      this.#leavingNews.set(endpoint, now);
      this.announce(now);
    }
  }

  /** Sends a heartbeat to every live member of the region now: rare news that must be quick. */
  announce(now: Instant): void {
    this.#section.beat++;
    for (const { record } of this.#members.live()) {
      if (record.region === this.#board.self.region) {
        this.#send(record, now);
      }
    }
  }

  #period(): number {
    const scale = this.#section.members.size >= MANY_MEMBERS
      ? MANY_MEMBERS_SCALE
      : 1;
    return this.#board.self.heartbeatPeriod * scale;
  }

  #sendBeats(now: Instant): void {
    const plan = planHeartbeat(
      this.#board.self,
      this.#members.live(),
      this.#section.beat,
    );
    const targets = [...plan.zone, ...plan.near, ...plan.far];
    targets.forEach((record) => this.#send(record, now));
    this.#unheardUrls().forEach((url) => this.#send({ controlUrl: url }, now));
  }

  /** Addresses that nobody answers from: seeds, listed entries and suspects, one in turn. */
  #unheardUrls(): string[] {
    const { beat, members } = this.#section;
    const alone = members.size === 0;
    if (!alone && beat % UNHEARD_EVERY_BEATS !== 1) {
      return [];
    }
    const { self } = this.#board;
    const heard = new Set([self.controlUrl]);
    const suspects: string[] = [];
    for (const { health, record } of members.values()) {
      if (health === "live") {
        heard.add(record.controlUrl);
      } else {
        suspects.push(record.controlUrl);
      }
    }
    const unheard = [
      ...new Set([...self.seeds, ...this.#listedUrls, ...suspects]),
    ].filter((url) => !heard.has(url));
    const turn = Math.floor(beat / UNHEARD_EVERY_BEATS);
    const count = alone ? UNHEARD_EVERY_BEATS : 1;
    return pickFrom(unheard, turn * count, count);
  }

  /** Sends to a known member, or to an address of which nothing is known. */
  #send(
    to: MemberRecord | { readonly controlUrl: string },
    now: Instant,
  ): void {
    const { self, configuration } = this.#board;
    const url = to.controlUrl;
    const region = "region" in to ? to.region : undefined;
    const sameZone = "zone" in to && to.zone === self.zone;
    this.#emit({
      kind: "sendHeartbeat",
      url,
      heartbeat: {
        deployment: self.deployment,
        from: this.#content.ownFreshness(now),
        revision: configuration.revision,
        rejected: rejectedOf(this.#board),
        demand: region === self.region ? this.#content.demand(now) : [],
        freshness: this.#content.nextFreshness(),
        records: this.#recordsFor(url, now),
        news: region === undefined
          ? []
          : this.#content.newsFor(region, { sameZone, now }),
        leaving: region === self.region ? this.#freshLeaving(now) : [],
      },
    });
  }

  #recordsFor(url: string, now: Instant): MemberCopy[] {
    const wanted = this.#wanted.get(url) ?? [];
    this.#wanted.delete(url);
    const others = wanted.flatMap((incarnation): MemberCopy[] => {
      const member = this.#members.get(incarnation);
      return member === undefined
        ? []
        : [{ record: member.record, beat: member.beat }];
    });
    const own = this.#content.ownRecord(now);
    if (this.#told.get(url) === own.version) {
      return others;
    }
    this.#told.set(url, own.version);
    return [{ record: own, beat: this.#section.beat }, ...others];
  }

  #freshLeaving(now: Instant): LeavingNews[] {
    for (const [endpoint, since] of this.#leavingNews) {
      if (now - since > LEAVING_NEWS_MS) {
        this.#leavingNews.delete(endpoint);
      }
    }
    return [...this.#leavingNews.keys()].map((endpoint) => ({ endpoint }));
  }
}

function rejectedOf({ configuration }: Blackboard): Revision {
  return configuration.rejected?.revision ?? 0 as Revision;
}
