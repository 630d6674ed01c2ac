/**
 * Which entries a caller should use.
 *
 * @module
 */
import { formatOwnerToken } from "../actions/index.ts";
import type { Blackboard } from "../blackboard/index.ts";
import {
  type Instant,
  type Milliseconds,
  milliseconds,
  type RegionId,
  rendezvous,
} from "../ids/index.ts";
import type { MemberRecord } from "../messages/index.ts";
import type { HomedCustomer, Service } from "../text/index.ts";

/** How long callers may go by one answer. */
export const ENTRY_LIST_HOLD_MS = 10_000;
/** Entries that a refusal names. */
const MAX_GO_TO = 3;
/** Entries of one answer. */
const MAX_LISTED = 16;

/** One entry for a caller to use. */
export interface ListedEntry {
  readonly id: string;
  readonly url: string;
  readonly region: string;
  readonly zone: string;
  /** Keys for non-repeatable calls are made from it. */
  readonly ownerToken: string;
}

/** Ordered entries, and how long the order holds. */
export interface EntryList {
  readonly entries: readonly ListedEntry[];
  readonly holdsFor: Milliseconds;
}

type Place = Pick<
  MemberRecord,
  "id" | "incarnation" | "url" | "region" | "zone" | "epoch"
>;

/**
 * Entries for a customer's calls, best first: its home region, in an order that differs from customer
 * to customer, so that their load spreads and each stays with an entry that knows its prefixes.
 */
export function listEntries(
  board: Blackboard,
  { customer, service }: {
    customer: HomedCustomer;
    service: Service | undefined;
  },
  now: Instant,
): EntryList {
  const regions = regionsFor(customer, service);
  const places = readyPlaces(board, now);
  const near = places.filter((place) => place.region === customer.home);
  const far = customer.bound
    ? []
    : places.filter((place) => place.region !== customer.home);
  const ordered = [
    ...rendezvous(customer.id, near, (place) => place.id),
    ...rendezvous(customer.id, far, (place) => place.id),
  ].filter((place) => regions === undefined || regions.includes(place.region));
  return {
    entries: ordered.slice(0, MAX_LISTED).map(toListedEntry),
    holdsFor: milliseconds(ENTRY_LIST_HOLD_MS),
  };
}

/** Base URLs of other entries of a region, for a refusal. */
export function otherEntries(board: Blackboard, region: RegionId): string[] {
  const urls: string[] = [];
  for (const { health, record } of board.membership.members.values()) {
    if (
      health === "live" && record.state === "ready" && record.region === region
    ) {
      urls.push(record.url);
    }
  }
  return rendezvous(board.self.id, urls, (url) => url).slice(0, MAX_GO_TO);
}

function regionsFor(
  customer: HomedCustomer,
  service: Service | undefined,
): readonly RegionId[] | undefined {
  if (service === undefined) {
    return undefined;
  }
  return customer.bound
    ? service.regions.filter((region) => region === customer.home)
    : service.regions;
}

function readyPlaces(board: Blackboard, now: Instant): Place[] {
  const { self, lifecycle, membership, actions } = board;
  const places: Place[] = [];
  if (lifecycle.phase === "ready") {
    places.push({ ...self, epoch: actions.epoch(now) });
  }
  for (const { health, record } of membership.members.values()) {
    if (health === "live" && record.state === "ready") {
      places.push(record);
    }
  }
  return places;
}

function toListedEntry(
  { id, url, region, zone, incarnation, epoch }: Place,
): ListedEntry {
  return {
    id,
    url,
    region,
    zone,
    ownerToken: formatOwnerToken(id, incarnation, epoch),
  };
}
