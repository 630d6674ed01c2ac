/**
 * Contents of an entry's heartbeats.
 *
 * @module
 */
import type { Blackboard, Member } from "../blackboard/index.ts";
import type { Instant } from "../ids/index.ts";
import type {
  CustomerDemand,
  MemberFreshness,
  MemberRecord,
  ZoneReport,
} from "../messages/index.ts";
import type { MemberTable } from "./member_table.ts";
import { takeCyclic } from "./take_cyclic.ts";
import type { ZoneTable } from "./zone_table.ts";

/** Members of the same region whose freshness one heartbeat carries, in turn where there are more. */
const MAX_REGION_FRESHNESS = 12;
/** Members of other regions whose freshness one heartbeat carries, in turn. */
const MAX_REMOTE_FRESHNESS = 4;
/** Updates about other zones are passed on with every second beat. */
const ZONE_UPDATE_INTERVAL_BEATS = 2;
/** Customers whose demand one heartbeat carries: only those near their limit matter. */
const MAX_DEMAND = 8;
/** A customer's demand is reported above this fraction of its limit. */
const REPORTED_DEMAND_FRACTION = 1 / 16;

/** Builds the contents of heartbeats. */
export class HeartbeatContent {
  readonly #board: Blackboard;
  readonly #members: MemberTable;
  readonly #zones: ZoneTable;
  #regionCursor = 0;
  #remoteCursor = 0;
  #lastRecord: MemberRecord | undefined;

  constructor(
    board: Blackboard,
    { members, zones }: { members: MemberTable; zones: ZoneTable },
  ) {
    this.#board = board;
    this.#members = members;
    this.#zones = zones;
  }

  /** This entry's own freshness. */
  ownFreshness(now: Instant): MemberFreshness {
    const { incarnation, version } = this.ownRecord(now);
    return { incarnation, beat: this.#board.membership.beat, version };
  }

  /** This entry's record. Its version increases whenever the record changes. */
  ownRecord(now: Instant): MemberRecord {
    const { self, lifecycle, actions } = this.#board;
    const stopping = lifecycle.phase === "stopping" ||
      lifecycle.phase === "stopped";
    const previous = this.#lastRecord;
    const record: MemberRecord = {
      id: self.id,
      incarnation: self.incarnation,
      version: previous?.version ?? 1,
      zone: self.zone,
      region: self.region,
      url: self.url,
      controlUrl: self.controlUrl,
      state: stopping
        ? "stopping"
        : lifecycle.phase === "ready"
        ? "ready"
        : "starting",
      epoch: actions.epoch(now),
      owns: actions.owns,
    };
    const unchanged = previous !== undefined &&
      previous.state === record.state &&
      previous.epoch === record.epoch &&
      previous.owns.join() === record.owns.join();
    this.#lastRecord = unchanged
      ? previous
      : { ...record, version: record.version + 1 };
    return this.#lastRecord;
  }

  /** Customers near their limit with their request rates at this entry, highest first. */
  demand(now: Instant): CustomerDemand[] {
    const customers = this.#board.configuration.deployment?.customers;
    return [...this.#board.requests.demand(now)]
      .filter(([customer, rate]) =>
        rate >
          (customers?.get(customer)?.limit?.perSecond ?? Infinity) *
            REPORTED_DEMAND_FRACTION
      )
      .sort((left, right) => right[1] - left[1])
      .slice(0, MAX_DEMAND)
      .map(([customer, requestsPerSecond]) => ({
        customer,
        requestsPerSecond: Math.round(requestsPerSecond),
      }));
  }

  /** Spare capacity of this entry's zone, and the total demand at the zone's entries. */
  #ownZoneUpdate(now: Instant): ZoneReport {
    const { self, requests } = this.#board;
    const totals = new Map(
      this.demand(now).map((
        { customer, requestsPerSecond },
      ) => [customer, requestsPerSecond]),
    );
    for (const { record, demand } of this.#members.live()) {
      for (
        const { customer, requestsPerSecond } of record.zone === self.zone
          ? demand
          : []
      ) {
        totals.set(customer, (totals.get(customer) ?? 0) + requestsPerSecond);
      }
    }
    return {
      zone: self.zone,
      region: self.region,
      issuer: self.incarnation,
      beat: this.#board.membership.beat,
      spare: requests.spare(now),
      demand: [...totals].map(([customer, requestsPerSecond]) => ({
        customer,
        requestsPerSecond,
      })),
    };
  }

  /** Zone updates for a receiver: about this zone unless the receiver is in it, and at times about another. */
  zoneUpdatesFor(
    region: string,
    { sameZone, now }: { sameZone: boolean; now: Instant },
  ): ZoneReport[] {
    const relayed =
      this.#board.membership.beat % ZONE_UPDATE_INTERVAL_BEATS === 0
        ? this.#zones.nextUpdateFor(region, now)
        : [];
    if (sameZone) {
      return relayed;
    }
    const ownUpdate = this.#ownZoneUpdate(now);
    return [
      region === this.#board.self.region
        ? ownUpdate
        : { ...ownUpdate, demand: [] },
      ...relayed,
    ];
  }

  /** Freshness of the next members in turn: those of this zone and region, and a few of other regions. */
  nextFreshness(): MemberFreshness[] {
    const { self } = this.#board;
    const live = this.#members.live();
    const sameRegion = live.filter(({ record }) =>
      record.region === self.region
    );
    const otherRegions = live.filter(({ record }) =>
      record.region !== self.region
    );
    // This zone first: the freshness passed on within it decides which members are considered dead.
    sameRegion.sort((left, right) =>
      zoneRank(self.zone, left) - zoneRank(self.zone, right)
    );
    const ownZone = sameRegion.filter(({ record }) => record.zone === self.zone)
      .slice(0, MAX_REGION_FRESHNESS);
    const otherZones = sameRegion.slice(ownZone.length);
    const nextOtherZones = takeCyclic(
      otherZones,
      this.#regionCursor,
      MAX_REGION_FRESHNESS - ownZone.length,
    );
    const nextOtherRegions = takeCyclic(
      otherRegions,
      this.#remoteCursor,
      MAX_REMOTE_FRESHNESS,
    );
    this.#regionCursor += nextOtherZones.length;
    this.#remoteCursor += nextOtherRegions.length;
    return [...ownZone, ...nextOtherZones, ...nextOtherRegions].map((
      { record, beat },
    ) => ({
      incarnation: record.incarnation,
      beat,
      version: record.version,
    }));
  }
}

function zoneRank(zone: string, { record }: Member): number {
  return record.zone === zone ? 0 : 1;
}
