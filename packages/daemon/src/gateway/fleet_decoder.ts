/**
 * Decodes the kinds of datagrams that entries send all the time. Checking them by schema would take much of
 * an entry's processor time.
 *
 * @module
 */
import {
  type DemandReport,
  type EntryRecord,
  type FleetGossip,
  type FleetMessage,
  type HeldVersions,
  isSocketAddress,
  type RegionSummary,
  type WorkReport,
} from "@sassafrasstep/core";
import { MAX_ITEMS, MAX_TEXT_CHARACTERS } from "../quarantine/index.ts";

const STATES: ReadonlySet<unknown> = new Set<EntryRecord["state"]>([
  "starting",
  "ready",
  "outdated",
  "stopping",
]);
const HEALTHS: ReadonlySet<unknown> = new Set(["live", "suspect", "dead"]);

/**
 * Decodes the items after the kind of a message. Returns `undefined` for a kind that is decoded by schema, and throws
 * if the items are not valid.
 */
export function decodeFrequent(
  kind: unknown,
  body: readonly unknown[],
): FleetMessage | undefined {
  switch (kind) {
    case "work":
      expectLength(body, 2);
      return {
        kind,
        incarnation: text(body[0]) as never,
        report: decodeReport(body[1]),
      };
    case "ping":
    case "ack":
      expectLength(body, 6);
      return {
        kind,
        ...decodeBase(body),
        sequence: integer(body[2]),
        ...decodeGossip(body),
      };
    case "indirect":
      expectLength(body, 4);
      return {
        kind,
        ...decodeBase(body),
        sequence: integer(body[2]),
        target: socketAddress(body[3]),
      };
    case "indirect_ack":
      expectLength(body, 3);
      return { kind, ...decodeBase(body), sequence: integer(body[2]) };
    case "announce":
      expectLength(body, 2);
      return { kind, ...decodeBase(body) };
    case "demand":
      expectLength(body, 2);
      return {
        kind,
        incarnation: text(body[0]) as never,
        report: decodeDemand(body[1]),
      };
    default:
      return undefined;
  }
}

function decodeBase(
  body: readonly unknown[],
): { from: EntryRecord; holdings: HeldVersions } {
  return { from: decodeRecord(body[0]), holdings: decodeHoldings(body[1]) };
}

function decodeRecord(value: unknown): EntryRecord {
  const items = tuple(value, 9);
  return {
    id: text(items[0]),
    incarnation: text(items[1]),
    version: integer(items[2]),
    zone: text(items[3]),
    region: text(items[4]),
    callerAddress: socketAddress(items[5]),
    peerAddress: socketAddress(items[6]),
    state: oneOf(STATES, items[7]),
    weight: finite(items[8]),
  } as unknown as EntryRecord;
}

function decodeHoldings(value: unknown): HeldVersions {
  const [document, position] = tuple(value, 2);
  const [epoch, revision] = tuple(position, 2);
  return {
    document: integer(document),
    catalogue: { epoch: integer(epoch), revision: integer(revision) },
  } as unknown as HeldVersions;
}

function decodeGossip(body: readonly unknown[]): FleetGossip {
  return {
    news: list(body[3], decodeUpdate),
    regions: list(body[4], decodeSummary),
    holds: list(body[5], decodeHold),
  };
}

function decodeUpdate(value: unknown): FleetGossip["news"][number] {
  const [record, health] = tuple(value, 2);
  return {
    record: decodeRecord(record),
    health: oneOf(HEALTHS, health) as never,
  };
}

function decodeSummary(value: unknown): RegionSummary {
  const items = tuple(value, 4);
  return {
    region: text(items[0]),
    age: finite(items[1]),
    loads: list(items[2], decodeLoad),
    shares: list(items[3], (share) => {
      const [region, part] = tuple(share, 2);
      return { region: text(region), share: finite(part) };
    }),
  } as unknown as RegionSummary;
}

/**
 * Without endpoints there is no backlog. Its place then holds the time until there is an endpoint, which entries of an
 * earlier version ignore.
 */
function decodeLoad(value: unknown): RegionSummary["loads"][number] {
  const items = tuple(value, 5);
  const endpoints = integer(items[1]);
  const backlog = finite(items[4]);
  return {
    service: text(items[0]),
    endpoints,
    work: finite(items[2]),
    requests: finite(items[3]),
    backlog: endpoints === 0 ? 0 : backlog,
    closedFor: endpoints === 0 && backlog > 0 ? backlog : undefined,
  } as unknown as RegionSummary["loads"][number];
}

function decodeHold(value: unknown): FleetGossip["holds"][number] {
  const items = tuple(value, 8);
  const caller = text(items[1]);
  return {
    subject: text(items[0]),
    caller: caller === "" ? undefined : caller,
    service: text(items[2]),
    versions: list(items[3], text),
    mended: list(items[4], text),
    term: integer(items[5]),
    remaining: finite(items[6]),
    released: flag(items[7]),
  } as unknown as FleetGossip["holds"][number];
}

function decodeReport(value: unknown): WorkReport {
  const items = tuple(value, 5);
  return {
    partial: flag(items[0]),
    endpoints: list(items[1], decodeWork),
    prefixes: list(items[2], decodePrefix),
    arrivals: list(items[3], (arrival) => {
      const [service, work, requests] = tuple(arrival, 3);
      return {
        service: text(service) as never,
        work: finite(work),
        requests: finite(requests),
      };
    }),
    picture: integer(items[4]),
  };
}

function decodeDemand(value: unknown): DemandReport {
  const items = tuple(value, 3);
  return {
    waiting: list(items[0], decodeWaiting),
    placed: list(items[1], decodePlaced),
    paces: list(items[2], decodePace),
  };
}

function decodeWaiting(value: unknown): DemandReport["waiting"][number] {
  const items = tuple(value, 6);
  return {
    service: text(items[0]),
    rank: integer(items[1]),
    late: flag(items[2]),
    customer: decodeCustomer(items[3]),
    requests: integer(items[4]),
    tokens: integer(items[5]),
  } as unknown as DemandReport["waiting"][number];
}

function decodePlaced(value: unknown): DemandReport["placed"][number] {
  const items = tuple(value, 4);
  return {
    service: text(items[0]),
    customer: decodeCustomer(items[1]),
    requests: integer(items[2]),
    tokens: integer(items[3]),
  } as unknown as DemandReport["placed"][number];
}

/** Requests without a customer have an empty id. */
function decodeCustomer(value: unknown): string | undefined {
  return text(value) || undefined;
}

function decodePace(value: unknown): DemandReport["paces"][number] {
  const items = tuple(value, 3);
  return {
    endpoint: text(items[0]),
    contention: integer(items[1]),
    age: integer(items[2]),
  } as unknown as DemandReport["paces"][number];
}

function decodeWork(value: unknown): WorkReport["endpoints"][number] {
  const items = tuple(value, 5);
  return {
    endpoint: text(items[0]),
    life: life(items[1]),
    prefill: finite(items[2]),
    requests: finite(items[3]),
    tokens: finite(items[4]),
  } as unknown as WorkReport["endpoints"][number];
}

function decodePrefix(value: unknown): WorkReport["prefixes"][number] {
  const items = tuple(value, 3);
  return {
    endpoint: text(items[0]),
    life: life(items[1]),
    parts: list(items[2], (part) => {
      const [id, tokens] = tuple(part, 2);
      return { id: text(id), tokens: finite(tokens) };
    }),
  } as unknown as WorkReport["prefixes"][number];
}

function tuple(value: unknown, length: number): readonly unknown[] {
  if (!Array.isArray(value)) {
    throw new TypeError("Cannot decode datagram: expected an array");
  }
  expectLength(value, length);
  return value;
}

function expectLength(items: readonly unknown[], length: number): void {
  if (items.length !== length) {
    throw new TypeError(`Cannot decode datagram: expected ${length} items`);
  }
}

function list<Item>(
  value: unknown,
  decode: (item: unknown) => Item,
): Item[] {
  if (!Array.isArray(value) || value.length > MAX_ITEMS) {
    throw new TypeError("Cannot decode datagram: expected a list");
  }
  const items: Item[] = [];
  for (const item of value) {
    items.push(decode(item));
  }
  return items;
}

function text(value: unknown): string {
  if (typeof value !== "string" || value.length > MAX_TEXT_CHARACTERS) {
    throw new TypeError("Cannot decode datagram: expected a short text");
  }
  return value;
}

function socketAddress(value: unknown): string {
  const address = text(value);
  if (!isSocketAddress(address)) {
    throw new TypeError("Cannot decode datagram: expected an address");
  }
  return address;
}

function finite(value: unknown): number {
  if (!Number.isFinite(value)) {
    throw new TypeError("Cannot decode datagram: expected a number");
  }
  return value as number;
}

function integer(value: unknown): number {
  if (!Number.isSafeInteger(value) || (value as number) < 0) {
    throw new TypeError("Cannot decode datagram: expected an integer");
  }
  return value as number;
}

/** 0 stands for an endpoint that does not report its life. */
function life(value: unknown): number | undefined {
  return integer(value) || undefined;
}

function flag(value: unknown): boolean {
  if (typeof value !== "boolean") {
    throw new TypeError("Cannot decode datagram: expected a boolean");
  }
  return value;
}

function oneOf(values: ReadonlySet<unknown>, value: unknown): string {
  if (!values.has(value)) {
    throw new TypeError("Cannot decode datagram: expected a known name");
  }
  return value as string;
}
