/**
 * Tracks the other entries of the fleet by heartbeats.
 *
 * @module
 */
import type {
  Blackboard,
  Member,
  MembershipView,
  Writable,
  ZoneStatus,
} from "../blackboard/index.ts";
import {
  after,
  type EndpointId,
  type Incarnation,
  type Instant,
  type Revision,
  type ZoneId,
} from "../ids/index.ts";
import type { StallAdjustedClockView } from "../listening/index.ts";
import type {
  Emit,
  Heartbeat,
  HeartbeatReply,
  LeavingNotice,
  ListedVm,
  MemberRecord,
  RelayedMemberRecord,
} from "../messages/index.ts";
import { HeartbeatContent } from "./heartbeat_content.ts";
import { planHeartbeat } from "./heartbeat_plan.ts";
import { MemberTable } from "./member_table.ts";
import { takeCyclic } from "./take_cyclic.ts";
import { ZoneTable } from "./zone_table.ts";

const RECORDS_PER_HEARTBEAT = 4;
/** With this many known members, heartbeats are sent half as often, each with more content. */
const LARGE_FLEET_MEMBERS = 20;
const LARGE_FLEET_PERIOD_FACTOR = 2;
/** How long updates about a leaving endpoint are passed on. */
export const LEAVING_UPDATE_DURATION_MS = 30_000;
/** Number of beats between attempts to reach an address without a live member. */
const UNREACHABLE_RETRY_BEATS = 5;

/** The `membership` section, as its controller writes it. */
export interface MembershipSection extends Writable<MembershipView> {
  members: Map<Incarnation, Member>;
  endedIncarnations: Map<Incarnation, Instant>;
  zones: Map<ZoneId, ZoneStatus>;
}

/** Creates the `membership` section of a starting entry. */
export function createMembershipSection(): MembershipSection {
  return {
    members: new Map(),
    endedIncarnations: new Map(),
    zones: new Map(),
    beat: 0,
  };
}

/** Maintains the `membership` section. */
export class MembershipController {
  readonly #board: Blackboard;
  readonly #section: MembershipSection;
  readonly #emit: Emit;
  readonly #members: MemberTable;
  readonly #zones: ZoneTable;
  readonly #content: HeartbeatContent;
  /** Incarnations whose records a peer asked for, by the peer's control address. */
  readonly #requestedRecords = new Map<string, readonly Incarnation[]>();
  /** Version of this entry's record that was last sent, by control address. */
  readonly #sentVersions = new Map<string, number>();
  readonly #leavingSince = new Map<EndpointId, Instant>();
  #listedUrls: readonly string[] = [];
  #nextBeatAt: Instant;

  constructor(
    board: Blackboard,
    section: MembershipSection,
    { emit, clock, now }: {
      emit: Emit;
      clock: StallAdjustedClockView;
      now: Instant;
    },
  ) {
    this.#board = board;
    this.#section = section;
    this.#emit = emit;
    this.#members = new MemberTable({
      self: board.self,
      emit,
      clock,
      members: section.members,
      gone: section.endedIncarnations,
    });
    this.#zones = new ZoneTable(board.self, section.zones);
    this.#content = new HeartbeatContent(board, {
      members: this.#members,
      zones: this.#zones,
    });
    this.#nextBeatAt = now;
  }

  /** Sends due heartbeats and updates the health of silent members. */
  tick(now: Instant): void {
    if (now < this.#nextBeatAt) {
      return;
    }
    this.#nextBeatAt = after(now, this.#period());
    this.#section.beat++;
    this.#members.expireSilent(now, this.#period());
    this.#sendBeats(now);
  }

  /** Handles a peer's heartbeat and returns the reply. */
  receive(heartbeat: Heartbeat, now: Instant): HeartbeatReply {
    const { from, records, freshness, revision, demand, news } = heartbeat;
    records.forEach((copy) => this.#members.applyCopy(copy, now));
    const wanted = [from, ...freshness].filter((item) =>
      this.#members.refresh(item, now)
    );
    this.#members.recordReport(from.incarnation, { revision, demand });
    news.forEach((item) => this.#zones.applyUpdate(item, now));
    const includesSenderRecord = records.some(({ record }) =>
      record.incarnation === from.incarnation
    );
    return {
      from: this.#content.ownFreshness(now),
      revision: this.#board.configuration.revision,
      rejected: rejectedRevision(this.#board),
      record: includesSenderRecord ? this.#content.ownRecord(now) : undefined,
      wanted: wanted.map(({ incarnation }) => incarnation).slice(
        0,
        RECORDS_PER_HEARTBEAT,
      ),
      leaving: this.#currentLeavingUpdates(now),
    };
  }

  /** Handles the reply to a heartbeat of this entry. */
  receiveReply(
    { from, revision, record, wanted }: HeartbeatReply,
    now: Instant,
  ): void {
    if (record !== undefined) {
      this.#members.applyCopy({ record, beat: from.beat }, now);
    }
    const unknown = this.#members.refresh(from, now);
    this.#members.recordReport(from.incarnation, { revision });
    const url = this.#members.get(from.incarnation)?.record.controlUrl;
    if (url === undefined) {
      return;
    }
    this.#requestedRecords.set(url, wanted);
    if (unknown || wanted.includes(this.#board.self.incarnation)) {
      // Send this entry's record again: the reply to that contains the peer's record.
      this.#sentVersions.delete(url);
    }
  }

  /** Handles a refused connection to a control address. */
  recordRefusedConnection(url: string): void {
    this.#sentVersions.delete(url);
    this.#members.refused(url);
  }

  /** Takes the entries of the VM list as addresses to contact. A listed entry is not yet a live member. */
  receiveVmList(vms: readonly ListedVm[]): void {
    const entries = vms.filter((vm) =>
      vm.role === "entry" && vm.state === "live"
    );
    this.#listedUrls = entries.flatMap((vm) => vm.controlUrl ?? []);
  }

  /** Announces a leaving endpoint to the whole region at once, and repeats that in heartbeats for a while. */
  announceLeavingEndpoint(endpoint: EndpointId, now: Instant): void {
    if (!this.#leavingSince.has(endpoint)) {
      this.#leavingSince.set(endpoint, now);
      this.announce(now);
    }
  }

  /** Sends a heartbeat to every live member of the region now, for rare changes that must spread quickly. */
  announce(now: Instant): void {
    this.#section.beat++;
    for (const { record } of this.#members.live()) {
      if (record.region === this.#board.self.region) {
        this.#send(record, now);
      }
    }
  }

  #period(): number {
    const factor = this.#section.members.size >= LARGE_FLEET_MEMBERS
      ? LARGE_FLEET_PERIOD_FACTOR
      : 1;
    return this.#board.self.heartbeatPeriod * factor;
  }

  #sendBeats(now: Instant): void {
    const plan = planHeartbeat(
      this.#board.self,
      this.#members.live(),
      this.#section.beat,
    );
    const targets = [
      ...plan.sameZone,
      ...plan.sameRegion,
      ...plan.otherRegions,
    ];
    targets.forEach((record) => this.#send(record, now));
    this.#unreachableUrls().forEach((url) =>
      this.#send({ controlUrl: url }, now)
    );
  }

  /** Addresses without a live member, in turn: seeds, listed entries and suspects. */
  #unreachableUrls(): string[] {
    const { beat, members } = this.#section;
    const alone = members.size === 0;
    if (!alone && beat % UNREACHABLE_RETRY_BEATS !== 1) {
      return [];
    }
    const { self } = this.#board;
    const reachable = new Set([self.controlUrl]);
    const suspects: string[] = [];
    for (const { health, record } of members.values()) {
      if (health === "live") {
        reachable.add(record.controlUrl);
      } else {
        suspects.push(record.controlUrl);
      }
    }
    const unreachable = [
      ...new Set([...self.seeds, ...this.#listedUrls, ...suspects]),
    ].filter((url) => !reachable.has(url));
    const round = Math.floor(beat / UNREACHABLE_RETRY_BEATS);
    const count = alone ? UNREACHABLE_RETRY_BEATS : 1;
    return takeCyclic(unreachable, round * count, count);
  }

  /** Sends a heartbeat to a known member, or to an address without one. */
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
        rejected: rejectedRevision(this.#board),
        demand: region === self.region ? this.#content.demand(now) : [],
        freshness: this.#content.nextFreshness(),
        records: this.#recordsFor(url, now),
        news: region === undefined
          ? []
          : this.#content.zoneUpdatesFor(region, { sameZone, now }),
        leaving: region === self.region ? this.#currentLeavingUpdates(now) : [],
      },
    });
  }

  #recordsFor(url: string, now: Instant): RelayedMemberRecord[] {
    const wanted = this.#requestedRecords.get(url) ?? [];
    this.#requestedRecords.delete(url);
    const others = wanted.flatMap((incarnation): RelayedMemberRecord[] => {
      const member = this.#members.get(incarnation);
      return member === undefined
        ? []
        : [{ record: member.record, beat: member.beat }];
    });
    const own = this.#content.ownRecord(now);
    if (this.#sentVersions.get(url) === own.version) {
      return others;
    }
    this.#sentVersions.set(url, own.version);
    return [{ record: own, beat: this.#section.beat }, ...others];
  }

  #currentLeavingUpdates(now: Instant): LeavingNotice[] {
    for (const [endpoint, since] of this.#leavingSince) {
      if (now - since > LEAVING_UPDATE_DURATION_MS) {
        this.#leavingSince.delete(endpoint);
      }
    }
    return [...this.#leavingSince.keys()].map((endpoint) => ({ endpoint }));
  }
}

function rejectedRevision({ configuration }: Blackboard): Revision {
  return configuration.rejected?.revision ?? 0 as Revision;
}
