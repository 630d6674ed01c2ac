/**
 * Lists of entries that a caller should use.
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
import type { ConfiguredCustomer, Service } from "../text/index.ts";

/** Time for which callers may use a list. */
export const ENTRY_LIST_LIFETIME_MS = 10_000;
/** Maximum number of entries that a refusal names. */
const MAX_ALTERNATIVE_ENTRIES = 3;
/** Maximum number of entries in one list. */
const MAX_LISTED_ENTRIES = 16;

/** One entry for a caller to use. */
export interface ListedEntry {
  readonly id: string;
  readonly url: string;
  readonly region: string;
  readonly zone: string;
  /** Token from which callers make idempotency keys for non-repeatable calls. */
  readonly ownerToken: string;
}

/** Entries in order of preference. */
export interface EntryList {
  readonly entries: readonly ListedEntry[];
  /** Time for which the list may be used. */
  readonly validFor: Milliseconds;
}

type EntryCandidate = Pick<
  MemberRecord,
  "id" | "incarnation" | "url" | "region" | "zone" | "epoch"
>;

/**
 * Returns the entries for a customer's calls in order of preference: those of its home region first. Within
 * a region the order depends on the customer, which spreads the load and keeps each customer at an entry that
 * knows which endpoints have cached its prefixes.
 */
export function listEntries(
  board: Blackboard,
  { customer, service }: {
    customer: ConfiguredCustomer;
    service: Service | undefined;
  },
  now: Instant,
): EntryList {
  const regions = allowedRegions(customer, service);
  const candidates = readyEntries(board, now);
  const inHomeRegion = candidates.filter((candidate) =>
    candidate.region === customer.home
  );
  const inOtherRegions = customer.bound
    ? []
    : candidates.filter((candidate) => candidate.region !== customer.home);
  const ordered = [
    ...rendezvous(customer.id, inHomeRegion, (candidate) => candidate.id),
    ...rendezvous(customer.id, inOtherRegions, (candidate) => candidate.id),
  ].filter((candidate) =>
    regions === undefined || regions.includes(candidate.region)
  );
  return {
    entries: ordered.slice(0, MAX_LISTED_ENTRIES).map(toListedEntry),
    validFor: milliseconds(ENTRY_LIST_LIFETIME_MS),
  };
}

/** Returns base URLs of other entries of a region, to be named in a refusal. */
export function otherEntries(board: Blackboard, region: RegionId): string[] {
  const urls: string[] = [];
  for (const { health, record } of board.membership.members.values()) {
    if (
      health === "live" && record.state === "ready" && record.region === region
    ) {
      urls.push(record.url);
    }
  }
  return rendezvous(board.self.id, urls, (url) => url).slice(
    0,
    MAX_ALTERNATIVE_ENTRIES,
  );
}

function allowedRegions(
  customer: ConfiguredCustomer,
  service: Service | undefined,
): readonly RegionId[] | undefined {
  if (service === undefined) {
    return undefined;
  }
  return customer.bound
    ? service.regions.filter((region) => region === customer.home)
    : service.regions;
}

function readyEntries(board: Blackboard, now: Instant): EntryCandidate[] {
  const { self, lifecycle, membership, actions } = board;
  const candidates: EntryCandidate[] = [];
  if (lifecycle.phase === "ready") {
    candidates.push({ ...self, epoch: actions.epoch(now) });
  }
  for (const { health, record } of membership.members.values()) {
    if (health === "live" && record.state === "ready") {
      candidates.push(record);
    }
  }
  return candidates;
}

function toListedEntry(
  { id, url, region, zone, incarnation, epoch }: EntryCandidate,
): ListedEntry {
  return {
    id,
    url,
    region,
    zone,
    ownerToken: formatOwnerToken(id, incarnation, epoch),
  };
}
