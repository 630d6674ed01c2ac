import {
  AUTOMATIC_FEATURES,
  type EntryId,
  Gateway,
  type Incarnation,
  instant,
  milliseconds,
  type RegionId,
  SeededRandomness,
  type ZoneId,
} from "@sassafrasstep/core";
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { decodeFleetMessage, encodeFleetMessage } from "../fleet_schema.ts";

const TICK_MS = 25;

/** Few names, so that messages refer to the same entries, endpoints, services and customers. */
const name = fc.constantFrom(
  "a1",
  "b1",
  "c1",
  "a",
  "b",
  "pool",
  "i-1",
  "",
  "v",
);
const address = fc.constantFrom("127.0.0.1:1", "127.0.0.1:65535", "x:2");
const count = fc.constantFrom(0, 1, 2, 7, 1_000, Number.MAX_SAFE_INTEGER);
const amount = fc.constantFrom(0, -1, 0.5, 3, 1e9, 1e300, -1e300, 5e-324);
const few = <Item>(item: fc.Arbitrary<Item>): fc.Arbitrary<Item[]> =>
  fc.array(item, { maxLength: 3 });
const key = fc.constantFrom("AAAAAAAAAAA", "BBBBBBBBBBB");
const position = fc.tuple(count, count);
const record = fc.tuple(
  name,
  name,
  count,
  name,
  name,
  address,
  address,
  fc.constantFrom("starting", "ready", "outdated", "stopping"),
  amount,
);
const holdings = fc.tuple(count, position);
const summary = fc.tuple(
  name,
  amount,
  few(fc.tuple(name, count, amount, amount, amount)),
  few(fc.tuple(name, amount)),
);
const hold = fc.tuple(
  name,
  name,
  name,
  few(name),
  few(name),
  count,
  amount,
  fc.boolean(),
);
const news = fc.tuple(record, fc.constantFrom("live", "suspect", "dead"));
const gossip = [few(news), few(summary), few(hold)] as const;
const notice = fc.tuple(name, count, fc.option(amount), amount);
const group = fc.tuple(name, name, count, amount, key);
const endpoint = fc.tuple(
  name,
  name,
  address,
  name,
  name,
  count,
  fc.constantFrom("ready", "draining"),
  amount,
  fc.option(amount),
  count,
  count,
);
const change = fc.oneof(
  fc.tuple(fc.constant("endpoint"), endpoint),
  fc.tuple(fc.constant("endpointRemoved"), name),
  fc.tuple(fc.constantFrom("evacuated", "evacuationEnded"), name),
);
const body = {
  work: fc.tuple(
    name,
    fc.tuple(
      fc.boolean(),
      few(fc.tuple(name, count, amount, amount, amount)),
      few(fc.tuple(name, count, few(fc.tuple(name, amount)))),
      few(fc.tuple(name, amount, amount)),
      count,
    ),
  ),
  demand: fc.tuple(
    name,
    fc.tuple(
      few(fc.tuple(name, count, fc.boolean(), name, count, count)),
      few(fc.tuple(name, name, count, count)),
      few(fc.tuple(name, count, count)),
    ),
  ),
  ping: fc.tuple(record, holdings, count, ...gossip),
  ack: fc.tuple(record, holdings, count, ...gossip),
  indirect: fc.tuple(record, holdings, count, address),
  indirect_ack: fc.tuple(record, holdings, count),
  announce: fc.tuple(record, holdings),
  limits: fc.tuple(
    fc.tuple(fc.constantFrom("notice", "ask", "grant"), name, few(notice)),
  ),
  cold: fc.tuple(few(fc.tuple(name, count, count))),
  departures: fc.tuple(fc.tuple(name, few(fc.tuple(name, count)))),
  outlook: fc.tuple(
    fc.tuple(name, amount, few(fc.tuple(name, few(count), count))),
  ),
  retries: fc.tuple(
    fc.tuple(fc.constantFrom("ask", "loan"), name, name, amount),
  ),
  census: fc.tuple(name, count),
  origins: fc.tuple(fc.oneof(
    fc.tuple(fc.constant("records"), name, few(group), address),
    fc.tuple(fc.constant("query"), address, key, fc.boolean()),
    fc.tuple(fc.constant("found"), few(group)),
    fc.tuple(fc.constant("missing"), name, key),
    fc.tuple(fc.constant("confirmed"), name),
  )),
  spending: fc.tuple(fc.oneof(
    fc.tuple(
      fc.constant("report"),
      name,
      fc.boolean(),
      few(fc.tuple(name, amount)),
    ),
    fc.tuple(
      fc.constant("totals"),
      name,
      name,
      fc.boolean(),
      few(fc.tuple(name, amount, amount, count)),
    ),
  )),
  currency: fc.tuple(fc.oneof(
    fc.tuple(fc.constant("question"), address, count, position),
    fc.tuple(
      fc.constant("answer"),
      name,
      count,
      count,
      position,
      amount,
      fc.option(fc.tuple(count, few(change))),
    ),
  )),
};
const datagram = fc.oneof(
  ...Object.entries(body).map(([kind, items]) =>
    items.map((values) => [kind, ...values] as unknown[])
  ),
);

function startGateway(): Gateway {
  return new Gateway({
    self: {
      id: "a" as EntryId,
      incarnation: "a1" as Incarnation,
      zone: "a" as ZoneId,
      region: "a" as RegionId,
      callerAddress: "127.0.0.1:2",
      peerAddress: "127.0.0.1:3",
      weight: 1,
      seeds: ["127.0.0.1:4"],
      features: AUTOMATIC_FEATURES,
      regionByZone: new Map([["a", "a"], ["b", "b"]] as never),
      bounds: {
        retryRatio: 0.2,
        retryWindow: milliseconds(10_000),
        retrySlack: 50,
        coldOvershoot: 1.5,
        coldSlack: 3,
        listLifetime: milliseconds(1_000),
        stopTime: milliseconds(8_000),
        keyLifetime: milliseconds(5_000),
      },
    },
    random: new SeededRandomness(1),
  }, instant(0));
}

/** A document and endpoints, so that messages about them have an effect. */
const SNAPSHOT = {
  revision: 2,
  document: {
    version: 2,
    routes: [],
    services: new Map([["pool", {
      id: "pool",
      healthPath: "/",
      connectionLimit: 10,
      coldRate: 1,
      coldPeriod: 1_000,
      engine: { slots: 4, cacheTokens: 1_000, fetches: true },
    }]]),
    customers: new Map([["a", {
      id: "a",
      keyDigests: ["d"],
      rank: 1,
      homes: [],
      limit: { unit: "tokens", perSecond: 5, burst: 5, plainTokens: 1 },
    }]]),
    limits: { headerBytes: 1, bodyBytes: 1, headerTime: 1, idleTime: 1 },
  },
  endpoints: ["i-1", "v"].map((id) => ({
    id,
    service: "pool",
    address: "127.0.0.1:9",
    zone: "a",
    softwareVersion: "v",
    slots: 4,
    state: "ready",
    coldFor: 0,
    leavesIn: undefined,
    life: undefined,
    sequence: 1,
  })),
  evacuated: [],
};

// Guards against an entry that ends, or never ticks again, because of a number or a name in a datagram.
describe("datagrams with odd values", () => {
  it("leave an entry able to tick, report and send", () => {
    fc.assert(
      fc.property(
        fc.array(datagram, { minLength: 1, maxLength: 40 }),
        (datagrams) => {
          const gateway = startGateway();
          let now = instant(0);
          const handle = (event: Parameters<Gateway["handle"]>[0]): void => {
            for (const effect of gateway.handle(event, now)) {
              if (effect.kind === "datagram") {
                encodeFleetMessage(effect.message);
              }
            }
          };
          handle({ kind: "catalogueRead", snapshot: SNAPSHOT as never });
          for (const items of datagrams) {
            const message = decodeFleetMessage(
              Buffer.from(JSON.stringify(items)),
            );
            if (message !== undefined) {
              handle({ kind: "datagram", message });
            }
            now = instant(now + TICK_MS);
            handle({ kind: "tick" });
            const { tickInterval } = gateway;
            expect(tickInterval).toBeGreaterThan(0);
            expect(tickInterval).toBeLessThan(5_000);
          }
          gateway.snapshot();
        },
      ),
      { numRuns: 400 },
    );
  });
});
