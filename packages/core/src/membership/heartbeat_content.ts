/**
 * What one entry's heartbeats say.
 *
 * @module
 */
import type { Blackboard, Member } from "../blackboard/index.ts";
import type { Instant } from "../ids/index.ts";
import type {
  Demand,
  Freshness,
  MemberRecord,
  ZoneNews,
} from "../messages/index.ts";
import type { MemberTable } from "./member_table.ts";
import { pickFrom } from "./pick_from.ts";
import type { ZoneTable } from "./zone_table.ts";

/** Members of the own zone and region that one heartbeat tells of, in turn where there are more. */
const NEAR_FRESHNESS = 12;
/** Members of other regions that one heartbeat tells of, in turn. */
const FAR_FRESHNESS = 4;
/** Beats whose news of other zones one heartbeat carries: every second one. */
const NEWS_EVERY_BEATS = 2;
/** Demand entries of one heartbeat: only customers near their limit matter. */
const MAX_DEMAND = 8;
/** A customer's demand is told from this part of its limit on. */
const TOLD_PART_OF_LIMIT = 1 / 16;

/** Puts heartbeats' contents together. */
export class HeartbeatContent {
  readonly #board: Blackboard;
  readonly #members: MemberTable;
  readonly #zones: ZoneTable;
  #nearCursor = 0;
  #farCursor = 0;
  #own: MemberRecord | undefined;

  constructor(
    board: Blackboard,
    { members, zones }: { members: MemberTable; zones: ZoneTable },
  ) {
    this.#board = board;
    this.#members = members;
    this.#zones = zones;
  }

  /** This entry's own freshness. */
  ownFreshness(now: Instant): Freshness {
    const { incarnation, version } = this.ownRecord(now);
    return { incarnation, beat: this.#board.membership.beat, version };
  }

  /** This entry's record, with a new version whenever it differs from the last one. */
  ownRecord(now: Instant): MemberRecord {
    const { self, lifecycle, actions } = this.#board;
    const stopping = lifecycle.phase === "stopping" ||
      lifecycle.phase === "stopped";
    const last = this.#own;
    const record: MemberRecord = {
      id: self.id,
      incarnation: self.incarnation,
      version: last?.version ?? 1,
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
    const same = last !== undefined && last.state === record.state &&
      last.epoch === record.epoch &&
      last.owns.join() === record.owns.join();
    this.#own = same ? last : { ...record, version: record.version + 1 };
    return this.#own;
  }

  /** Customers near their limit, by what they ask of this entry. */
  demand(now: Instant): Demand[] {
    const customers = this.#board.configuration.deployment?.customers;
    return [...this.#board.requests.demand(now)]
      .filter(([customer, rate]) =>
        rate >
          (customers?.get(customer)?.limit?.perSecond ?? Infinity) *
            TOLD_PART_OF_LIMIT
      )
      .sort((left, right) => right[1] - left[1])
      .slice(0, MAX_DEMAND)
      .map(([customer, requestsPerSecond]) => ({
        customer,
        requestsPerSecond: Math.round(requestsPerSecond),
      }));
  }

  /** The own zone's capacity, and the demand of all its entries. */
  #ownNews(now: Instant): ZoneNews {
    const { self, requests } = this.#board;
    const total = new Map(
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
        total.set(customer, (total.get(customer) ?? 0) + requestsPerSecond);
      }
    }
    return {
      zone: self.zone,
      region: self.region,
      issuer: self.incarnation,
      beat: this.#board.membership.beat,
      spare: requests.spare(now),
      demand: [...total].map(([customer, requestsPerSecond]) => ({
        customer,
        requestsPerSecond,
      })),
    };
  }

  /** News for a receiver: of the own zone, which its own members know, and now and then of another. */
  newsFor(
    region: string,
    { sameZone, now }: { sameZone: boolean; now: Instant },
  ): ZoneNews[] {
    const passedOn = this.#board.membership.beat % NEWS_EVERY_BEATS === 0
      ? this.#zones.nextFor(region, now)
      : [];
    if (sameZone) {
      return passedOn;
    }
    const own = this.#ownNews(now);
    return [
      region === this.#board.self.region ? own : { ...own, demand: [] },
      ...passedOn,
    ];
  }

  /** The next members in turn: those of the own zone and region, and a few of other regions. */
  nextFreshness(): Freshness[] {
    const { self } = this.#board;
    const live = this.#members.live();
    const near = live.filter(({ record }) => record.region === self.region);
    const far = live.filter(({ record }) => record.region !== self.region);
    // The own zone first: what is passed on there decides who is held for dead.
    near.sort((left, right) =>
      zoneRank(self.zone, left) - zoneRank(self.zone, right)
    );
    const ownZone = near.filter(({ record }) => record.zone === self.zone)
      .slice(0, NEAR_FRESHNESS);
    const otherZones = near.slice(ownZone.length);
    const nearTurn = pickFrom(
      otherZones,
      this.#nearCursor,
      NEAR_FRESHNESS - ownZone.length,
    );
    const farTurn = pickFrom(far, this.#farCursor, FAR_FRESHNESS);
    this.#nearCursor += nearTurn.length;
    this.#farCursor += farTurn.length;
    return [...ownZone, ...nearTurn, ...farTurn].map(({ record, beat }) => ({
      incarnation: record.incarnation,
      beat,
      version: record.version,
    }));
  }
}

function zoneRank(zone: string, { record }: Member): number {
  return record.zone === zone ? 0 : 1;
}
