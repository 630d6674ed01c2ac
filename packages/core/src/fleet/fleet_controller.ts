/**
 * Who else is an entry of the fleet and alive: each period a member is pinged in turn, an unanswered
 * ping is repeated through others, and opinions travel on pings and acks. The cost of an entry is the
 * same at 9 entries and at 530 (the SWIM protocol of Das, Gupta and Motivala, 2002).
 *
 * @module
 */
import {
  after,
  type Incarnation,
  type Instant,
  type RegionId,
  sample,
} from "../ids/index.ts";
import { type IndirectProbe, IndirectProbes } from "./indirect_probes.ts";
import type {
  FleetGossip,
  FleetMessage,
  FleetRecord,
  FleetState,
} from "./fleet_messages.ts";
import { FleetMail } from "./fleet_mail.ts";
import type { FleetOptions } from "./fleet_options.ts";
import { JoinBackoff } from "./join_backoff.ts";
import { UnreachablePeers } from "./unreachable_peers.ts";
import { MembershipList } from "./membership_list.ts";
import type { FleetMember } from "./membership_list.ts";
import {
  type CatalogueHolder,
  type DocumentHolder,
  PeerHoldings,
} from "./peer_holdings.ts";
import { pingPeriod, pingsOf } from "./ping_pace.ts";
import { ProbeSchedule } from "./probe_schedule.ts";
import { RegionSummaries } from "./region_summaries.ts";

/** How long a suspect may deny before it is held for dead. */
export const SUSPICION_MS = 2_000;
/** Entries asked to ping a silent one. */
const INDIRECT_PROBES = 2;
/** News in one message: keeps a datagram under 1,400 bytes. */
const NEWS_PER_MESSAGE = 5;
/** Members named to a newcomer in one message, which then carries one region's summary alone. */
const MEMBERS_FOR_NEWCOMER = 9;
/** An entry first heard of less than this long ago is told of members that are no news to others. */
const NEWCOMER_MS = 3_000;
/** Without this many ticks' gap the loop ran; a longer gap is a pause. */
const PAUSE_MS = 1_000;

/** Writes what is known of other entries. */
export class FleetController {
  readonly regions: RegionSummaries;
  /** What goes to other entries. */
  readonly mail: FleetMail;
  readonly #options: FleetOptions;
  readonly #members = new MembershipList();
  readonly #probes: ProbeSchedule;
  readonly #indirect = new IndirectProbes();
  readonly #lost: UnreachablePeers;
  readonly #pace: JoinBackoff;
  readonly #holdings = new PeerHoldings();
  #record: FleetRecord;
  #nextPeriodAt: Instant;
  #lastTickAt: Instant;

  constructor(options: FleetOptions, now: Instant) {
    this.#options = options;
    this.#probes = new ProbeSchedule(options.random, options.listened);
    this.#record = { ...options.self, version: 1, state: "starting" };
    this.mail = new FleetMail(options, {
      record: () => this.#record,
      live: () => this.live(),
    });
    this.regions = new RegionSummaries(options.self.region);
    this.#nextPeriodAt = now;
    this.#lastTickAt = now;
    this.#pace = new JoinBackoff(now);
    this.#lost = new UnreachablePeers(options.self.peerAddress, options.seeds);
  }

  /** This entry's own record. */
  get record(): FleetRecord {
    return this.#record;
  }

  /** Members that answer. */
  live(): FleetMember[] {
    return this.#members.withHealth("live");
  }

  /** Members that are not known to have ended: for shares that must not add up to too much. */
  possible(): FleetMember[] {
    return [...this.#members.all()].filter(({ health }) => health !== "dead");
  }

  /** Where an entry is reached, `undefined` where it is not known to live. */
  addressOf(incarnation: Incarnation): string | undefined {
    const member = this.#members.get(incarnation);
    return member?.health === "live" ? member.record.peerAddress : undefined;
  }

  /** Part of a region's entries that answer, of those that were known within a minute. */
  heardPart(region: RegionId): number {
    const { known, heard } = this.#countHeard(region);
    return known === 0 ? 1 : heard / known;
  }

  /** The same part with this entry counted as one that is known and heard. */
  heardPartWithSelf(region: RegionId): number {
    const { known, heard } = this.#countHeard(region);
    return (heard + 1) / (known + 1);
  }

  #countHeard(region: RegionId): { known: number; heard: number } {
    const known = new Set<string>();
    const heard = new Set<string>();
    for (const { record, health } of this.#members.all()) {
      if (record.region === region) {
        known.add(record.peerAddress);
        if (health === "live") {
          heard.add(record.peerAddress);
        }
      }
    }
    return { known: known.size, heard: heard.size };
  }

  /** Where the newest catalogue is that a live member holds, and its revision. */
  newestHolder(): CatalogueHolder | undefined {
    return this.#holdings.newest(this.live());
  }

  /** Where the newest document of the operators is that a live member holds, and its version. */
  newestDocument(): DocumentHolder | undefined {
    return this.#holdings.newestDocument(this.live());
  }

  /** Changes the own state and tells those who name this entry to callers, at once. */
  changeState(state: FleetState, now: Instant): void {
    if (state === this.#record.state) {
      return;
    }
    this.#record = {
      ...this.#record,
      state,
      version: this.#record.version + 1,
    };
    this.mail.announce();
    this.#nextPeriodAt = now;
  }

  /** Sends what is due and judges who was silent. */
  tick(now: Instant): void {
    this.#noteLoop(now);
    this.#probes.takeIndirect(now).forEach((probe) =>
      this.#askOthers(probe.target, probe.sequence)
    );
    this.#probes.takeFailed(now).forEach(({ target }) =>
      this.#suspect(target, now)
    );
    this.#buryUndenied(now);
    if (now >= this.#nextPeriodAt) {
      const joining = this.isJoining(now);
      this.#nextPeriodAt = after(
        now,
        pingPeriod({
          period: this.#options.period,
          joining,
          members: this.#members.size,
          resting: this.#options.resting(),
        }),
      );
      this.#members.forget(now);
      this.#pingNext(joining, now);
    }
  }

  /** Whether this entry is still getting to know the fleet. */
  isJoining(now: Instant): boolean {
    return this.#pace.isJoining(this.#members.size, now);
  }

  /** Takes a datagram of a peer. */
  receive(message: FleetMessage, now: Instant): void {
    if (!("from" in message)) {
      return;
    }
    const { from, holdings } = message;
    if (from.incarnation === this.#record.incarnation) {
      return;
    }
    this.#noteLoop(now);
    this.#members.hear(from, now);
    this.#holdings.note(from.incarnation, holdings);
    this.#probes.heard(from.incarnation);
    switch (message.kind) {
      case "ping":
        this.#learn(message, now);
        return this.#answer(from, message.sequence, now);
      case "ack":
        this.#learn(message, now);
        this.#probes.close(message.sequence);
        return this.#acknowledgeIndirect(message.sequence);
      case "indirect":
        return this.#pingFor(message.target, {
          to: from.peerAddress,
          sequence: message.sequence,
        }, now);
      case "indirect_ack":
        return this.#probes.close(message.sequence);
      case "announce":
        return;
    }
  }

  /**
   * A process that stood still has lost answers to its pings, and would suspect everybody: callers
   * would be given a list with nobody but itself. So pings from before a pause prove nothing.
   */
  #noteLoop(now: Instant): void {
    if (now - this.#lastTickAt > PAUSE_MS) {
      this.#probes.clear();
    }
    this.#lastTickAt = now;
  }

  #learn({ news, regions }: FleetGossip, now: Instant): void {
    for (const item of news) {
      if (item.record.incarnation === this.#record.incarnation) {
        this.#deny(item.health, item.record.version);
      } else {
        this.#members.learn(item, now);
      }
    }
    regions.forEach((summary) => this.regions.learn(summary, now));
  }

  /** Somebody holds this entry for lost: a higher version overrules that wherever it has spread. */
  #deny(health: string, version: number): void {
    if (health !== "live" && version >= this.#record.version) {
      this.#record = { ...this.#record, version: version + 1 };
    }
  }

  #pingNext(joining: boolean, now: Instant): void {
    const candidates = [...this.#members.all()].filter(({ health }) =>
      health !== "dead"
    );
    const pings = pingsOf({ joining, members: candidates.length });
    for (const member of this.#probes.next(candidates, pings)) {
      const sequence = this.#probes.open(member, now);
      this.#ping(member.record.peerAddress, { sequence, about: member, now });
    }
    for (const { address, member } of this.#lost.next(this.#members.all())) {
      const sequence = this.#probes.number();
      this.#ping(address, { sequence, about: member, now });
    }
  }

  /** A ping tells its target what is thought of it, so that it can deny. */
  #ping(
    to: string,
    { sequence, about, now }: {
      sequence: number;
      about: FleetMember | undefined;
      now: Instant;
    },
  ): void {
    const doubted = about !== undefined && about.health !== "live";
    const gossip = this.#gossip(about, now);
    const news = doubted
      ? [{ record: about.record, health: about.health }, ...gossip.news]
      : gossip.news;
    this.mail.send(to, { kind: "ping", sequence, ...gossip, news });
  }

  #answer(to: FleetRecord, sequence: number, now: Instant): void {
    this.mail.send(to.peerAddress, {
      kind: "ack",
      sequence,
      ...this.#gossip(this.#members.get(to.incarnation), now),
    });
  }

  #gossip(to: FleetMember | undefined, now: Instant): FleetGossip {
    const own = this.#options.summary(now);
    const holds = this.#options.holds(now);
    const isNewcomer = to !== undefined && now - to.since < NEWCOMER_MS;
    return isNewcomer
      ? {
        news: this.#members.introduce(MEMBERS_FOR_NEWCOMER),
        regions: [own],
        holds,
      }
      : {
        holds,
        news: this.#members.nextNews(NEWS_PER_MESSAGE),
        regions: [own, ...this.regions.next(now)],
      };
  }

  #askOthers(target: FleetMember, sequence: number): void {
    const others = this.live().filter(({ record }) =>
      record.incarnation !== target.record.incarnation
    );
    const { random } = this.#options;
    for (const { record } of sample(others, INDIRECT_PROBES, random)) {
      this.mail.send(record.peerAddress, {
        kind: "indirect",
        sequence,
        target: target.record.peerAddress,
      });
    }
  }

  #pingFor(target: string, probe: IndirectProbe, now: Instant): void {
    const sequence = this.#probes.number();
    this.#indirect.add(sequence, probe);
    this.#ping(target, { sequence, about: undefined, now });
  }

  #acknowledgeIndirect(sequence: number): void {
    const probe = this.#indirect.take(sequence);
    if (probe !== undefined) {
      this.mail.send(probe.to, {
        kind: "indirect_ack",
        sequence: probe.sequence,
      });
    }
  }

  #suspect({ record }: FleetMember, now: Instant): void {
    if (this.#members.get(record.incarnation)?.health === "live") {
      this.#members.judge(record.incarnation, "suspect", now);
    }
  }

  #buryUndenied(now: Instant): void {
    for (const { record, since } of this.#members.withHealth("suspect")) {
      // Its denial may wait to be read here.
      if (this.#options.listened.since(since, now) >= SUSPICION_MS) {
        this.#members.judge(record.incarnation, "dead", now);
        this.#holdings.forget(record.incarnation);
      }
    }
  }
}
