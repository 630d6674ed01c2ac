import { STORE_KEYS } from "@sassafrasstep/platform";
import fc from "fast-check";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callPlatform, eventually, PlatformFleet, ROUTES } from "../index.ts";
import { route } from "../index.ts";

const SERIES = Number(process.env.DRAWN_SERIES ?? 8);
const MAX_TIME_MS = Math.max(60_000, SERIES * 6_000);
/** Levels of nesting that a value of the largest size can have. */
const MAX_NESTING = 400_000;

const ODD_NUMBERS = ["1e999", "-1", "-0", "0.5", "1e21", "9007199254740993"];
const ODD_TEXTS = [
  "",
  "__proto__",
  "constructor",
  "\u0000",
  "\ud800",
  "a\r\nb: c",
  "x".repeat(300),
  "ü",
];
const ODD_ADDRESSES = [
  "127.0.0.1:0",
  "127.0.0.1:65536",
  "127.0.0.1:99999999999",
  "127.0.0.1:080",
  "127.0.0.1:8e1",
  "127.0.0.1:-1",
  "127.1:80",
  "0x7f.0.0.1:80",
  "[::1]:80",
  "localhost:80",
  ":80",
  "127.0.0.1",
  "127.0.0.1:80:80",
  "127.0.0.1:80\r\n",
];

/** JSON text of a value of any kind and depth. */
const ODD_VALUE = fc.oneof(
  fc.constantFrom(...ODD_NUMBERS),
  fc.constantFrom(...ODD_TEXTS, ...ODD_ADDRESSES).map((text) =>
    JSON.stringify(text)
  ),
  fc.json(),
  fc.tuple(
    fc.integer({ min: 1_000, max: MAX_NESTING }),
    fc.constantFrom(["[", "]"], ['{"a":', "}"]),
  ).map(([depth, [open, close]]) =>
    open!.repeat(depth) + "1" + close!.repeat(depth)
  ),
  fc.constantFrom("null", "true", "[]", "{}", "", "nul", '{"a":1', "\ufeff{}"),
);

const SOUND_FIELDS: Readonly<Record<string, string>> = {
  service: '"plain"',
  address: '"127.0.0.1:9"',
  zone: '"a-1"',
  version: '"v1"',
  slots: "8",
  state: '"draining"',
  cold_remaining_ms: "0",
  sequence: "1",
};
const FIELD_NAMES = [
  ...Object.keys(SOUND_FIELDS),
  "remaining_ms",
  "born",
  "other",
  "__proto__",
];

/** A record of an endpoint with some odd fields, or a value that is no record at all. */
const ODD_RECORD = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.array(
      fc.tuple(fc.constantFrom(...FIELD_NAMES), ODD_VALUE),
      { minLength: 1, maxLength: 3 },
    ).map((fields) => {
      const all = { ...SOUND_FIELDS, ...Object.fromEntries(fields) };
      const items = Object.entries(all).map(([name, value]) =>
        `${JSON.stringify(name)}:${value}`
      );
      return `{${items.join()}}`;
    }),
  },
  { weight: 1, arbitrary: ODD_VALUE },
);

const ODD_VALUE_BYTES = fc.oneof(
  { weight: 6, arbitrary: ODD_RECORD.map((text) => Buffer.from(text)) },
  {
    weight: 1,
    arbitrary: fc.uint8Array({ maxLength: 200 }).map((bytes) =>
      Buffer.from(bytes)
    ),
  },
);

const ODD_KEY = fc.oneof(
  fc.string({ maxLength: 12 }).map((id) => `${STORE_KEYS.endpoint}${id}`),
  fc.constantFrom(...ODD_TEXTS).map((id) => `${STORE_KEYS.endpoint}${id}`),
  fc.constantFrom(...ODD_TEXTS).map((id) => `${STORE_KEYS.evacuation}${id}`),
  fc.integer({ min: 1, max: 30 }).map((id) => `${STORE_KEYS.endpoint}i-${id}`),
  fc.string({ maxLength: 40 }),
);

const ODD_ITEM = fc.record({
  key: ODD_KEY,
  value: ODD_VALUE_BYTES.map((bytes) => bytes.toString("base64")),
  removed: fc.boolean(),
});

// Guards against entries that end, or stop following the store, because of what another writer has left in it.
describe("drawn items of other writers in the store", () => {
  const fleet = new PlatformFleet();
  const exits: (number | null)[] = [];
  let published = 0;

  beforeAll(async () => {
    await fleet.prepare();
    await fleet.start(1);
    fleet.entries[0]!.process.once("exit", (code) => exits.push(code));
  });
  afterAll(() => fleet.close());

  /** Publishes a document with a new route, and waits until the entry serves it. */
  const expectFollowed = async (): Promise<void> => {
    const name = `route-${published++}`;
    const fields = { kind: "idempotent", service: "plain", attempts: 2 };
    fleet.publishDocument([...ROUTES, route(name, fields)]);
    fleet.refreshRecord("i-p1");
    fleet.refreshRecord("i-p2");
    let calls = 0;
    await eventually(async () => {
      const { status } = await callPlatform(fleet.entries[0]!.callers, {
        path: `/${name}/x`,
        call: `${name}-${calls++}`,
      });
      return status === 200;
    });
  };

  it("neither end an entry nor keep it from following the store", {
    timeout: 2 * MAX_TIME_MS,
  }, async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(ODD_ITEM, { minLength: 1, maxLength: 40 }),
        async (items) => {
          for (const { key, value, removed } of items) {
            fleet.store.putRaw(key, value);
            if (removed) {
              fleet.store.remove(key);
            }
          }
          await expectFollowed();
          expect(exits).toEqual([]);
        },
      ),
      {
        numRuns: SERIES,
        interruptAfterTimeLimit: MAX_TIME_MS,
        markInterruptAsFailure: true,
      },
    );
  });

  it("do not keep an entry from starting", async () => {
    await fleet.restartEntry(fleet.entries[0]!);
    await expectFollowed();
  });
});
