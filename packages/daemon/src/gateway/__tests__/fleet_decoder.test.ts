import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { decodeFleetMessage } from "../fleet_schema.ts";
import { FREQUENT_SCHEMAS } from "./frequent_schema_fixture.ts";

const text = fc.oneof(fc.string({ maxLength: 12 }), fc.constant(""));
const address = fc.tuple(
  fc.constantFrom("127.0.0.1", "::1", "entry-1.internal"),
  fc.integer({ min: 1, max: 65_535 }),
).map(([host, port]) => `${host}:${port}`);
const count = fc.oneof(fc.nat(), fc.constant(0), fc.maxSafeNat());
const amount = fc.oneof(fc.nat(), fc.double({ noNaN: true }), fc.constant(0));
const few = <Item>(item: fc.Arbitrary<Item>): fc.Arbitrary<Item[]> =>
  fc.array(item, { maxLength: 3 });
const record = fc.tuple(
  text,
  text,
  count,
  text,
  text,
  address,
  address,
  fc.constantFrom("starting", "ready", "outdated", "stopping"),
  amount,
);
const holdings = fc.tuple(count, fc.tuple(count, count));
const load = fc.tuple(text, count, amount, amount, amount);
const summary = fc.tuple(
  text,
  amount,
  few(load),
  few(fc.tuple(text, amount)),
);
const hold = fc.tuple(
  text,
  text,
  text,
  few(text),
  few(text),
  count,
  amount,
  fc.boolean(),
);
const news = fc.tuple(record, fc.constantFrom("live", "suspect", "dead"));
const report = fc.tuple(
  fc.boolean(),
  few(fc.tuple(text, count, amount, amount, amount)),
  few(fc.tuple(text, count, few(fc.tuple(text, amount)))),
  few(fc.tuple(text, amount, amount)),
  count,
);
const demand = fc.tuple(
  few(fc.tuple(text, count, fc.boolean(), text, count, count)),
  few(fc.tuple(text, text, count, count)),
  few(fc.tuple(text, count, count)),
);
const message: fc.Arbitrary<unknown[]> = fc.oneof(
  fc.tuple(fc.constant("demand"), text, demand),
  fc.tuple(fc.constant("work"), text, report),
  fc.tuple(
    fc.constantFrom("ping", "ack"),
    record,
    holdings,
    count,
    few(news),
    few(summary),
    few(hold),
  ),
  fc.tuple(fc.constant("indirect"), record, holdings, count, address),
  fc.tuple(fc.constant("indirect_ack"), record, holdings, count),
  fc.tuple(fc.constant("announce"), record, holdings),
);
/** What an item may be replaced by, as JSON text. */
const replacement = fc.constantFrom(
  "null",
  "true",
  "0",
  "-1",
  "1.5",
  "1e999",
  "9007199254740992",
  "[]",
  "{}",
  "[[]]",
  '""',
  '"ready"',
  '"dead"',
  '"127.0.0.1:1"',
  '"127.0.0.1:65536"',
  '"127.0.0.1:0"',
  '"127.0.0.1"',
  `"${"a".repeat(256)}"`,
  `"${"a".repeat(257)}"`,
  `[${"0,".repeat(1_023)}0]`,
  `[${"0,".repeat(1_024)}0]`,
  `[${'"a",'.repeat(1_023)}"a"]`,
  `[${'"a",'.repeat(1_024)}"a"]`,
  "1,2",
);

/** Texts of the items of a JSON array at any depth, as ranges. */
function itemRanges(value: unknown, offset = 0): [number, number][] {
  if (!Array.isArray(value)) {
    return [];
  }
  const ranges: [number, number][] = [];
  let start = offset + 1;
  for (const item of value) {
    const end = start + JSON.stringify(item).length;
    ranges.push([start, end], ...itemRanges(item, start));
    start = end + 1;
  }
  return ranges;
}

function bySchema(json: string): unknown {
  const [kind, ...body] = JSON.parse(json);
  return Object.hasOwn(FREQUENT_SCHEMAS, kind)
    ? FREQUENT_SCHEMAS[kind as keyof typeof FREQUENT_SCHEMAS].safeParse(body)
      .data
    : undefined;
}

describe("datagrams that are decoded by hand", () => {
  it("are decoded like those that are checked by schema", () => {
    fc.assert(fc.property(message, (items) => {
      const json = JSON.stringify(items);
      const expected = bySchema(json);
      expect(expected).toBeDefined();
      expect(decodeFleetMessage(Buffer.from(json))).toEqual(expected);
    }));
  });

  // Guards against a datagram that one check lets through and the other doesn't.
  it("are rejected like those that are checked by schema", () => {
    const changed = fc.tuple(message, fc.nat(), replacement).map(
      ([items, choice, text]) => {
        const json = JSON.stringify(items);
        const ranges = itemRanges(JSON.parse(json)).slice(1);
        const [start, end] = ranges[choice % ranges.length]!;
        return `${json.slice(0, start)}${text}${json.slice(end)}`;
      },
    );
    fc.assert(
      fc.property(changed, (json) => {
        expect(decodeFleetMessage(Buffer.from(json))).toEqual(bySchema(json));
      }),
      { numRuns: 3_000 },
    );
  });
});
