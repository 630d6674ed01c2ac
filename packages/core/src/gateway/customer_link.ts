/**
 * What customers' keys and limits see of the entry: whom to ask, who adds up, what is held.
 *
 * @module
 */
import { CustomerLimits } from "../customers/index.ts";
import type { FleetController, FleetRecord } from "../fleet/index.ts";
import {
  type CustomerId,
  type Incarnation,
  type Instant,
  type Randomness,
  type RegionId,
  sample,
} from "../ids/index.ts";
import type { CatalogueController } from "./catalogue_controller.ts";
import { CurrencyExchange } from "./currency_exchange.ts";
import type { GatewaySelf } from "./messages.ts";
import { ranked, takersOf } from "./serving_set.ts";

/** Entries of a region that read the platform for the others: one may be turned away, or its zone fail. */
const READERS = 2;
/** Part of its region that an entry has to hear to add up for it. */
const LEAST_HEARD = 0.5;
/** Duties are dealt anew this often. */
const DUTY_LIFETIME_MS = 200;

/** What the link is made of. */
export interface CustomerLinkSources {
  readonly self: GatewaySelf;
  readonly fleet: FleetController;
  readonly catalogue: CatalogueController;
  readonly random: Randomness;
  readonly resting: () => boolean;
}

/** Who has which duty in a region, by strength and name, so that all come to the same. */
interface Duties {
  readonly at: Instant;
  readonly keeper: FleetRecord | undefined;
  readonly readers: readonly FleetRecord[];
}

/** Duties of entries, as one entry sees them. */
export class CustomerDuties {
  readonly #sources: Pick<CustomerLinkSources, "self" | "fleet">;
  readonly #duties = new Map<RegionId, Duties>();

  constructor(sources: Pick<CustomerLinkSources, "self" | "fleet">) {
    this.#sources = sources;
  }

  /** Whether this entry reads the platform for others. */
  reads(now: Instant): boolean {
    const { self } = this.#sources;
    return this.#of(self.region, now).readers.some(({ incarnation }) =>
      incarnation === self.incarnation
    );
  }

  /** Entries of the own region that read the platform for others. */
  readers(now: Instant): readonly FleetRecord[] {
    return this.#of(this.#sources.self.region, now).readers;
  }

  /** The entry that adds up what a region's entries let in. */
  keeper(region: RegionId, now: Instant): Incarnation | undefined {
    const { fleet, self } = this.#sources;
    const cut = region === self.region && fleet.heardPart(region) < LEAST_HEARD;
    return cut ? undefined : this.#of(region, now).keeper?.incarnation;
  }

  #of(region: RegionId, now: Instant): Duties {
    const known = this.#duties.get(region);
    if (known !== undefined && now - known.at < DUTY_LIFETIME_MS) {
      return known;
    }
    const { fleet, self } = this.#sources;
    const takers = ranked(takersOf(region, fleet));
    const keeper = takers[0] ??
      (region === self.region ? fleet.record : undefined);
    const readers = readersOf(takers);
    const duties = { at: now, keeper, readers };
    this.#duties.set(region, duties);
    return duties;
  }
}

/** The weakest, which have least else to do, of different zones where there are some. */
function readersOf(takers: readonly FleetRecord[]): FleetRecord[] {
  const weakest = [...takers].reverse();
  const zones = new Set(weakest.map(({ zone }) => zone));
  const firsts = [...zones].map((zone) =>
    weakest.find((record) => record.zone === zone)!
  );
  return [...new Set([...firsts, ...weakest])].slice(0, READERS);
}

/** Makes the exchange of an entry. */
export function createExchange(
  { self, fleet, catalogue, random, resting }: CustomerLinkSources,
  duties: CustomerDuties,
): CurrencyExchange {
  return new CurrencyExchange({
    self,
    random,
    currency: catalogue.currency,
    resting,
    active: () => catalogue.keyed,
    holds: () => ({
      version: catalogue.document?.version ?? 0 as never,
      position: catalogue.position,
    }),
    newsSince: (position) => catalogue.newsSince(position),
    source: (tries, now) => {
      const live = fleet.live().map(({ record }) => record);
      const readers = duties.readers(now).filter(({ incarnation }) =>
        incarnation !== self.incarnation
      );
      const among = tries % 2 === 0 && readers.length > 0 ? readers : live;
      return sample(among, 1, random)[0]?.peerAddress;
    },
    send: (to, message) =>
      fleet.mail.sendBare(to, { kind: "currency", message }),
    told: (picture, now) => catalogue.told(picture, now),
  });
}

/** Makes the limits of an entry. */
export function createLimits(
  { self, fleet, catalogue, random }: CustomerLinkSources,
  duties: CustomerDuties,
): CustomerLimits {
  return new CustomerLimits({
    self,
    random,
    regions: [...new Set(self.regionByZone.values())],
    keeperOf: (region, now) => duties.keeper(region, now),
    limited: () => catalogue.table?.customers.limited ?? false,
    limitOf: (id: CustomerId) => catalogue.table?.customers.get(id)?.limit,
    entries: () => fleet.possible().length + 1,
    send: (to, message) => {
      const address = fleet.addressOf(to);
      if (address !== undefined) {
        fleet.mail.sendBare(address, { kind: "spending", message });
      }
    },
  });
}
