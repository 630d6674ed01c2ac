/**
 * Connects the checks of customers' keys and limits to the catalogue and the fleet. Assigns the roles that
 * entries have in them.
 *
 * @module
 */
import { CustomerLimits } from "../customers/index.ts";
import type { EntryRecord, FleetController } from "../fleet/index.ts";
import {
  type CustomerId,
  type Incarnation,
  type Instant,
  type Randomness,
  type RegionId,
  sample,
} from "../ids/index.ts";
import type { CatalogueController } from "./catalogue_controller.ts";
import { FreshnessExchange } from "./freshness_exchange.ts";
import type { GatewayIdentity } from "./messages.ts";
import { acceptingEntriesOf, rankEntries } from "./serving_set.ts";

/**
 * Number of entries of a region that read the platform on behalf of the others. One of them may be rejected
 * by the platform, or its availability zone may fail.
 */
const READERS_PER_REGION = 2;
/**
 * Minimum share of its region that an entry must be able to hear in order to add up the region's spending.
 */
const MIN_REACHABLE_SHARE = 0.5;
/** Roles are recomputed after this time. */
const ROLES_CACHE_MS = 200;

/** Dependencies of the freshness exchange and of the customer limits. */
export interface CustomerRoleDependencies {
  readonly self: GatewayIdentity;
  readonly fleet: FleetController;
  readonly catalogue: CatalogueController;
  readonly random: Randomness;
  readonly isStandby: () => boolean;
}

/**
 * Roles in one region. They are assigned by weight and name, so that all entries arrive at the same
 * assignment.
 */
interface RegionRoles {
  readonly assignedAt: Instant;
  readonly spendingKeeper: EntryRecord | undefined;
  readonly readers: readonly EntryRecord[];
}

/** Roles of the entries of each region, as seen by one entry. */
export class CustomerRoles {
  readonly #dependencies: Pick<CustomerRoleDependencies, "self" | "fleet">;
  readonly #rolesByRegion = new Map<RegionId, RegionRoles>();

  constructor(dependencies: Pick<CustomerRoleDependencies, "self" | "fleet">) {
    this.#dependencies = dependencies;
  }

  /** Whether this entry reads the platform on behalf of its peers. */
  isReader(now: Instant): boolean {
    const { self } = this.#dependencies;
    return this.#rolesOf(self.region, now).readers.some(({ incarnation }) =>
      incarnation === self.incarnation
    );
  }

  /** Entries of the own region that read the platform on behalf of the others. */
  readers(now: Instant): readonly EntryRecord[] {
    return this.#rolesOf(this.#dependencies.self.region, now).readers;
  }

  /**
   * The entry that adds up what a region's entries admit. `undefined` if this entry belongs to the
   * region but hears too few of its peers.
   */
  spendingKeeper(region: RegionId, now: Instant): Incarnation | undefined {
    const { fleet, self } = this.#dependencies;
    const isolated = region === self.region &&
      fleet.liveFraction(region) < MIN_REACHABLE_SHARE;
    return isolated
      ? undefined
      : this.#rolesOf(region, now).spendingKeeper?.incarnation;
  }

  #rolesOf(region: RegionId, now: Instant): RegionRoles {
    const cached = this.#rolesByRegion.get(region);
    if (cached !== undefined && now - cached.assignedAt < ROLES_CACHE_MS) {
      return cached;
    }
    const { fleet, self } = this.#dependencies;
    const candidates = rankEntries(acceptingEntriesOf(region, fleet));
    const spendingKeeper = candidates[0] ??
      (region === self.region ? fleet.record : undefined);
    const readers = selectReaders(candidates);
    const roles = { assignedAt: now, spendingKeeper, readers };
    this.#rolesByRegion.set(region, roles);
    return roles;
  }
}

/**
 * Selects the entries with the least weight, which have the least other work, in different availability
 * zones if possible.
 */
function selectReaders(candidates: readonly EntryRecord[]): EntryRecord[] {
  const ascending = [...candidates].reverse();
  const zones = new Set(ascending.map(({ zone }) => zone));
  const onePerZone = [...zones].map((zone) =>
    ascending.find((record) => record.zone === zone)!
  );
  return [...new Set([...onePerZone, ...ascending])].slice(
    0,
    READERS_PER_REGION,
  );
}

/** Creates the freshness exchange of an entry. */
export function createFreshnessExchange(
  { self, fleet, catalogue, random, isStandby }: CustomerRoleDependencies,
  roles: CustomerRoles,
): FreshnessExchange {
  return new FreshnessExchange({
    self,
    random,
    documentFreshness: catalogue.documentFreshness,
    isStandby,
    isEnabled: () => catalogue.requiresKeys,
    localState: () => ({
      version: catalogue.document?.version ?? 0 as never,
      position: catalogue.position,
    }),
    changesSince: (position) => catalogue.changesSince(position),
    selectPeer: (attempt, now) => {
      const live = fleet.liveMembers().map(({ record }) => record);
      const readers = roles.readers(now).filter(({ incarnation }) =>
        incarnation !== self.incarnation
      );
      const candidates = attempt % 2 === 0 && readers.length > 0
        ? readers
        : live;
      return sample(candidates, 1, random)[0]?.peerAddress;
    },
    send: (to, message) =>
      fleet.sender.sendWithoutRecord(to, { kind: "currency", message }),
    onPeerReport: (report, now) => catalogue.applyPeerReport(report, now),
  });
}

/** Creates the customer limits of an entry. */
export function createCustomerLimits(
  { self, fleet, catalogue, random }: CustomerRoleDependencies,
  roles: CustomerRoles,
): CustomerLimits {
  return new CustomerLimits({
    self,
    random,
    regions: [...new Set(self.regionByZone.values())],
    aggregatorOf: (region, now) => roles.spendingKeeper(region, now),
    hasLimits: () => catalogue.table?.customers.hasLimits ?? false,
    limitOf: (id: CustomerId) => catalogue.table?.customers.get(id)?.limit,
    possibleEntries: () => fleet.possiblyLiveMembers().length + 1,
    send: (to, message) => {
      const address = fleet.peerAddressOf(to);
      if (address !== undefined) {
        fleet.sender.sendWithoutRecord(address, { kind: "spending", message });
      }
    },
  });
}
