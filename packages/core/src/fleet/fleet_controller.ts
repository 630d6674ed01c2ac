/**
 * Membership and failure detection, after the SWIM protocol of Das, Gupta and Motivala (2002). Each period
 * an entry pings the next members in turn and repeats an unanswered ping through other members. Membership
 * updates are piggybacked on pings and acks. The cost for each entry is the same at 9 entries and at 530.
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
import { EntryCensus } from "./entry_census.ts";
import { type IndirectProbe, IndirectProbes } from "./indirect_probes.ts";
import type {
  EntryRecord,
  EntryState,
  FleetGossip,
  FleetMessage,
} from "./fleet_messages.ts";
import { FleetSender } from "./fleet_sender.ts";
import type { FleetOptions } from "./fleet_options.ts";
import { JoinPhase } from "./join_phase.ts";
import { MembershipCache } from "./membership_cache.ts";
import { UnreachablePeers } from "./unreachable_peers.ts";
import { MembershipList } from "./membership_list.ts";
import type { FleetMember } from "./membership_list.ts";
import {
  type CatalogueHolder,
  type DocumentHolder,
  PeerHoldings,
} from "./peer_holdings.ts";
import { pingPeriod, pingsPerPeriod } from "./ping_rate.ts";
import { ProbeSchedule } from "./probe_schedule.ts";
import { RegionSummaries } from "./region_summaries.ts";

/** How long a suspected member may refute the suspicion before it is declared dead. */
export const SUSPICION_TIMEOUT_MS = 2_000;
/** Members asked to ping a member that did not answer. */
const INDIRECT_PROBES_PER_PING = 2;
/** Membership updates in one message: keeps a datagram under 1,400 bytes. */
const UPDATES_PER_MESSAGE = 5;
/** Membership updates in one message to a new member, which carries no summaries of other regions. */
const UPDATES_PER_NEWCOMER_MESSAGE = 9;
/** For this long after it was first heard of, a member is also sent members whose state did not change. */
const NEWCOMER_DURATION_MS = 3_000;
/** A longer gap between two ticks or messages counts as a pause of this process. */
const PAUSE_THRESHOLD_MS = 1_000;

/** Derives something about a region from the fleet's members, and from nothing else. */
export type MembershipDerivation<Value> = (
  region: RegionId,
  fleet: FleetController,
) => Value;

/** Tracks the other entries of the fleet and whether they are alive. */
export class FleetController {
  readonly regionSummaries: RegionSummaries;
  /** Sends messages to other entries. */
  readonly sender: FleetSender;
  readonly #options: FleetOptions;
  readonly #members = new MembershipList();
  readonly #probeSchedule: ProbeSchedule;
  readonly #indirectProbes = new IndirectProbes();
  readonly #unreachablePeers: UnreachablePeers;
  readonly #joinPhase: JoinPhase;
  readonly #holdings = new PeerHoldings();
  readonly #census = new EntryCensus();
  /** Version of the members that the census was last updated from. */
  #censusVersion = -1;
  /** Whether another entry was heard since the start. */
  #hasHeardPeer = false;
  readonly #derived = new MembershipCache<FleetController>();
  #record: EntryRecord;
  /** Increases with each change of this entry's own record. */
  #recordVersion = 0;
  #nextPeriodAt: Instant;
  #lastTickAt: Instant;

  constructor(options: FleetOptions, now: Instant) {
    this.#options = options;
    this.#probeSchedule = new ProbeSchedule(options.random, options.clock);
    this.#record = { ...options.self, version: 1, state: "starting" };
    this.sender = new FleetSender(options, {
      record: () => this.#record,
      live: () => this.liveMembers(),
    });
    this.regionSummaries = new RegionSummaries(options.self.region);
    this.#nextPeriodAt = now;
    this.#lastTickAt = now;
    this.#joinPhase = new JoinPhase(now);
    this.#unreachablePeers = new UnreachablePeers(
      options.self.peerAddress,
      options.seeds,
    );
  }

  /** This entry's own record. */
  get record(): EntryRecord {
    return this.#record;
  }

  /** Members that are considered live. */
  liveMembers(): readonly FleetMember[] {
    return this.#members.withHealth("live");
  }

  /**
   * Members that are not known to be dead. Shares of a limit are computed with these, so that all shares
   * together do not exceed it.
   */
  possiblyLiveMembers(): readonly FleetMember[] {
    return this.#members.possiblyLive();
  }

  /**
   * Number of entries of a region that may exist, this one included: all that this entry knew or was told of within an
   * hour, unless they announced their end. `undefined` while it has heard of no other entry, though there may be some.
   */
  entriesThatMayExist(region: RegionId, now: Instant): number | undefined {
    const { self, seeds } = this.#options;
    const isAlone = seeds.every((seed) => seed === self.peerAddress);
    if (!this.#hasHeardPeer && !isAlone) {
      return undefined;
    }
    return Math.max(
      this.#observedEntries(region, now),
      this.#census.reportedIn(region, now),
    );
  }

  /**
   * What a function derives from the members and this entry's own record, for one region. It is computed again only
   * after one of them has changed.
   */
  derive<Value>(
    derivation: MembershipDerivation<Value>,
    region: RegionId,
  ): Value {
    return this.#derived.get(
      { derivation, region, fleet: this },
      this.#members.version + this.#recordVersion,
    );
  }

  /** Peer address of a live member, `undefined` if the member is unknown or not live. */
  peerAddressOf(incarnation: Incarnation): string | undefined {
    const member = this.#members.get(incarnation);
    return member?.health === "live" ? member.record.peerAddress : undefined;
  }

  /**
   * Fraction of a region's known members that are live, 1 if none is known. Dead members count for a minute
   * before they are forgotten.
   */
  liveFraction(region: RegionId): number {
    const { known, live } = this.#countMembers(region);
    return known === 0 ? 1 : live / known;
  }

  /** The same fraction with this entry counted as a live member. */
  liveFractionWithSelf(region: RegionId): number {
    const { known, live } = this.#countMembers(region);
    return (live + 1) / (known + 1);
  }

  #countMembers(region: RegionId): { known: number; live: number } {
    const known = new Set<string>();
    const live = new Set<string>();
    for (const { record, health } of this.#members.all()) {
      if (record.region === region) {
        known.add(record.peerAddress);
        if (health === "live") {
          live.add(record.peerAddress);
        }
      }
    }
    return { known: known.size, live: live.size };
  }

  /** Live member that holds the newest catalogue, with the catalogue's position. */
  newestCatalogueHolder(): CatalogueHolder | undefined {
    return this.#holdings.newestCatalogue(this.liveMembers());
  }

  /** Live member that holds the newest routing document, with the document's version. */
  newestDocumentHolder(): DocumentHolder | undefined {
    return this.#holdings.newestDocument(this.liveMembers());
  }

  /** Changes this entry's state and announces it at once, since other entries list this one to callers. */
  changeState(state: EntryState, now: Instant): void {
    if (state === this.#record.state) {
      return;
    }
    this.#setRecord({
      ...this.#record,
      state,
      version: this.#record.version + 1,
    });
    this.sender.announce();
    this.#nextPeriodAt = now;
  }

  /** Sends due pings and evaluates members that did not answer. */
  tick(now: Instant): void {
    this.#detectPause(now);
    this.#probeSchedule.takeDueForIndirect(now).forEach((probe) =>
      this.#requestIndirectProbes(probe.target, probe.sequence)
    );
    this.#probeSchedule.takeTimedOut(now).forEach(({ target }) =>
      this.#suspect(target, now)
    );
    this.#declareSuspectsDead(now);
    if (now >= this.#nextPeriodAt) {
      this.#updateCensus(now);
      const joining = this.isJoining(now);
      this.#nextPeriodAt = after(
        now,
        pingPeriod({
          period: this.#options.pingPeriodMs,
          joining,
          members: this.#members.size,
          standby: this.#options.isStandby(),
        }),
      );
      this.#members.removeExpired(now);
      this.#pingNext(joining, now);
    }
  }

  /** Whether this entry is still discovering the fleet's members. */
  isJoining(now: Instant): boolean {
    return this.#joinPhase.isJoining(this.#members.size, now);
  }

  /** Handles a datagram from a peer. */
  receive(message: FleetMessage, now: Instant): void {
    if (message.kind === "census") {
      return this.#census.applyReport(message.report, now);
    }
    if (!("from" in message)) {
      return;
    }
    const { from, holdings } = message;
    if (from.incarnation === this.#record.incarnation) {
      return;
    }
    this.#detectPause(now);
    this.#hasHeardPeer = true;
    this.#members.recordHeard(from, now);
    this.#holdings.set(from.incarnation, holdings);
    this.#probeSchedule.closeFor(from.incarnation);
    switch (message.kind) {
      case "ping":
        this.#applyGossip(message, now);
        return this.#acknowledge(from, message.sequence, now);
      case "ack":
        this.#applyGossip(message, now);
        this.#probeSchedule.close(message.sequence);
        return this.#answerIndirectProbe(message.sequence);
      case "indirect":
        return this.#pingOnBehalf(message.target, {
          to: from.peerAddress,
          sequence: message.sequence,
        }, now);
      case "indirect_ack":
        return this.#probeSchedule.close(message.sequence);
      case "announce":
        return;
    }
  }

  /**
   * Detects pauses of this process. Answers that arrived during a pause may be lost, so the process would
   * suspect every member and give callers a list with only itself. Pings sent before a pause are dropped.
   */
  #detectPause(now: Instant): void {
    if (now - this.#lastTickAt > PAUSE_THRESHOLD_MS) {
      this.#probeSchedule.clear();
    }
    this.#lastTickAt = now;
  }

  #applyGossip({ news, regions }: FleetGossip, now: Instant): void {
    for (const item of news) {
      if (item.record.incarnation === this.#record.incarnation) {
        this.#refute(item.health, item.record.version);
      } else {
        this.#members.applyUpdate(item, now);
      }
    }
    regions.forEach((summary) => this.regionSummaries.update(summary, now));
  }

  /** Refutes another entry's suspicion of this one: a higher version overrides it wherever it has spread. */
  #refute(health: string, version: number): void {
    if (health !== "live" && version >= this.#record.version) {
      this.#setRecord({ ...this.#record, version: version + 1 });
    }
  }

  #setRecord(record: EntryRecord): void {
    this.#record = record;
    this.#recordVersion++;
  }

  #pingNext(joining: boolean, now: Instant): void {
    const candidates = this.#members.possiblyLive();
    const pings = pingsPerPeriod({ joining, members: candidates.length });
    for (const member of this.#probeSchedule.next(candidates, pings)) {
      const sequence = this.#probeSchedule.open(member, now);
      this.#ping(member.record.peerAddress, { sequence, target: member, now });
    }
    for (
      const { address, member } of this.#unreachablePeers.next(
        this.#members.all(),
      )
    ) {
      const sequence = this.#probeSchedule.nextSequence();
      this.#ping(address, { sequence, target: member, now });
    }
  }

  /** A ping tells a target that it is suspect or dead to this entry, so that the target can refute that. */
  #ping(
    to: string,
    { sequence, target, now }: {
      sequence: number;
      target: FleetMember | undefined;
      now: Instant;
    },
  ): void {
    const suspected = target !== undefined && target.health !== "live";
    const gossip = this.#createGossip(target, now);
    const news = suspected
      ? [{ record: target.record, health: target.health }, ...gossip.news]
      : gossip.news;
    this.sender.send(to, { kind: "ping", sequence, ...gossip, news });
  }

  #acknowledge(to: EntryRecord, sequence: number, now: Instant): void {
    const member = this.#members.get(to.incarnation);
    this.sender.send(to.peerAddress, {
      kind: "ack",
      sequence,
      ...this.#createGossip(member, now),
    });
    if (isNewcomer(member, now)) {
      const { region } = to;
      const report = { region, entries: this.#observedEntries(region, now) };
      this.sender.sendWithoutRecord(to.peerAddress, {
        kind: "census",
        report,
      });
    }
  }

  #observedEntries(region: RegionId, now: Instant): number {
    this.#updateCensus(now);
    const own = region === this.#record.region ? 1 : 0;
    return own + this.#census.observedIn(region, now);
  }

  #updateCensus(now: Instant): void {
    if (this.#censusVersion !== this.#members.version) {
      this.#censusVersion = this.#members.version;
      this.#census.update(this.#members.all(), now);
    }
  }

  #createGossip(to: FleetMember | undefined, now: Instant): FleetGossip {
    const ownSummary = this.#options.summary(now);
    const holds = this.#options.nextHolds(now);
    return isNewcomer(to, now)
      ? {
        news: this.#members.updatesForNewcomer(UPDATES_PER_NEWCOMER_MESSAGE),
        regions: [ownSummary],
        holds,
      }
      : {
        holds,
        news: this.#members.nextUpdates(UPDATES_PER_MESSAGE),
        regions: [ownSummary, ...this.regionSummaries.next(now)],
      };
  }

  #requestIndirectProbes(target: FleetMember, sequence: number): void {
    const others = this.liveMembers().filter(({ record }) =>
      record.incarnation !== target.record.incarnation
    );
    const { random } = this.#options;
    for (const { record } of sample(others, INDIRECT_PROBES_PER_PING, random)) {
      this.sender.send(record.peerAddress, {
        kind: "indirect",
        sequence,
        target: target.record.peerAddress,
      });
    }
  }

  #pingOnBehalf(target: string, probe: IndirectProbe, now: Instant): void {
    const sequence = this.#probeSchedule.nextSequence();
    this.#indirectProbes.add(sequence, probe);
    this.#ping(target, { sequence, target: undefined, now });
  }

  #answerIndirectProbe(sequence: number): void {
    const probe = this.#indirectProbes.take(sequence);
    if (probe !== undefined) {
      this.sender.send(probe.to, {
        kind: "indirect_ack",
        sequence: probe.sequence,
      });
    }
  }

  #suspect({ record }: FleetMember, now: Instant): void {
    if (this.#members.get(record.incarnation)?.health === "live") {
      this.#members.setHealth(record.incarnation, "suspect", now);
    }
  }

  #declareSuspectsDead(now: Instant): void {
    for (const { record, since } of this.#members.withHealth("suspect")) {
      // Stalls of this process don't count: a refutation may be waiting in the socket.
      if (this.#options.clock.since(since, now) >= SUSPICION_TIMEOUT_MS) {
        this.#members.setHealth(record.incarnation, "dead", now);
        this.#holdings.delete(record.incarnation);
      }
    }
  }
}

function isNewcomer(member: FleetMember | undefined, now: Instant): boolean {
  return member !== undefined && now - member.since < NEWCOMER_DURATION_MS;
}
