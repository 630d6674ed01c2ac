import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { OUTLOOK_LIFETIME_MS } from "../../index.ts";
import {
  type Load,
  type ModelRelay,
  playRelays,
  wasBusy,
} from "./relay_model.ts";

const DURATION_MS = 12_000;
const ENTRIES = 3;
/** Time until all entries of a region know what another one told: its period, the way, passing on, and their estimates. */
const KNOWN_AFTER_MS = 250 + 80 + 1 + 50 + 20;
/** Time for which a region that has been busy stays so. */
const REST_AFTER_MS = 500;
const SAVED_MS = 300;
const NO_LOSS = { isLost: () => false };

const load = (regions: number): fc.Arbitrary<Load> =>
  fc.record({
    region: fc.nat({ max: regions - 1 }),
    from: fc.integer({ min: 0, max: 8_000 }),
    length: fc.integer({ min: 500, max: 6_000 }),
    tokensPerSecond: fc.integer({ min: 20_000, max: 300_000 }),
    tokens: fc.integer({ min: 500, max: 10_000 }),
  }).map(({ length, ...rest }) => ({ ...rest, to: rest.from + length }));

function play(
  loads: readonly Load[],
  regions: number,
  network: { isLost: (from: number, to: number, at: number) => boolean } =
    NO_LOSS,
): ReturnType<typeof playRelays> {
  return playRelays(loads, {
    regions,
    entries: ENTRIES,
    durationMs: DURATION_MS,
    network,
  });
}

function expectWithinRoom(relays: readonly ModelRelay[]): void {
  const pairs = new Set(relays.map(({ from, to }) => `${from} ${to}`));
  for (const pair of pairs) {
    const sent = relays.filter(({ from, to }) => `${from} ${to}` === pair);
    const mostSpare = Math.max(...sent.map(({ spare }) => spare));
    const longest = Math.max(...sent.map(({ tokens }) => tokens));
    let mostExceeded = -Infinity;
    for (const [first, { at: start }] of sent.entries()) {
      let total = 0;
      for (const { at, tokens } of sent.slice(first)) {
        total += tokens;
        const bound = mostSpare * (at - start + SAVED_MS) / 1_000 +
          ENTRIES * longest;
        mostExceeded = Math.max(mostExceeded, total - bound);
      }
    }
    expect(mostExceeded).toBeLessThanOrEqual(1e-6);
  }
}

describe("regions that relay early", () => {
  it("relay the peak of one to the others, which are at rest", () => {
    const { relays } = play([{
      region: 0,
      from: 0,
      to: 10_000,
      tokensPerSecond: 200_000,
      tokens: 5_000,
    }], 3);
    expect(relays.length).toBeGreaterThan(20);
    expect(new Set(relays.map(({ from }) => from))).toEqual(new Set([0]));
    expect(new Set(relays.map(({ to }) => to))).toEqual(new Set([1, 2]));
  });

  it("relay nothing while all are busy", () => {
    const { relays } = play(
      [0, 1].map((region) => ({
        region,
        from: 0,
        to: 10_000,
        tokensPerSecond: 250_000,
        tokens: 5_000,
      })),
      2,
    );
    expect(relays.filter(({ at }) => at > 1_500)).toEqual([]);
  });

  /** Guards against more work sent to a region than it told to spare, from all entries of another together. */
  it("stay within what the other told to spare, up to the stated bound", () => {
    fc.assert(
      fc.property(
        fc.array(load(3), { minLength: 1, maxLength: 6 }),
        (loads) => expectWithinRoom(play(loads, 3).relays),
      ),
      { numRuns: 30 },
    );
  });

  /**
   * Guards against two regions that send each other the same service: whoever sends is busy, and it may take work only
   * after a time at rest, or while the other hasn't heard yet that it has become busy.
   */
  it("don't send and take the same service at a time", () => {
    fc.assert(
      fc.property(
        fc.array(load(2), { minLength: 1, maxLength: 6 }),
        (loads) => {
          const { relays, busy } = play(loads, 2);
          for (const { at, from, to } of relays) {
            expect(wasBusy(busy[from]!, { from: at, to: at })).toContain(true);
            expect(wasBusy(busy[to]!, { from: at - KNOWN_AFTER_MS, to: at }))
              .toContain(false);
            const back = relays.find((other) =>
              other.from === to && other.to === from && other.at > at
            );
            const until = (back?.at ?? Infinity) - at;
            expect(until >= REST_AFTER_MS || until <= KNOWN_AFTER_MS).toBe(
              true,
            );
          }
        },
      ),
      { numRuns: 40 },
    );
  });

  /** Guards against acting for long on what was told before a link was cut, one way or both. */
  it("send nothing to a region that has not been heard for the lifetime of an outlook", () => {
    fc.assert(
      fc.property(
        fc.array(load(2), { minLength: 1, maxLength: 5 }),
        fc.integer({ min: 0, max: 6_000 }),
        fc.constantFrom("both", "one way", "other way"),
        (loads, cutAt, cut) => {
          const { relays } = play(loads, 2, {
            isLost: (from, _to, at) =>
              at >= cutAt &&
              (cut === "both" || (cut === "one way") === (from === 0)),
          });
          for (const { at, from, estimatedAt } of relays) {
            expect(at - estimatedAt).toBeLessThanOrEqual(OUTLOOK_LIFETIME_MS);
            const isCutOff = cut === "both" ||
              (cut === "one way") === (from === 1);
            if (isCutOff) {
              expect(at).toBeLessThanOrEqual(
                cutAt + OUTLOOK_LIFETIME_MS + KNOWN_AFTER_MS,
              );
            }
          }
          expectWithinRoom(relays);
        },
      ),
      { numRuns: 30 },
    );
  });

  /** Guards against decisions that need each message: a third of them is lost. */
  it("keep to the same bounds when messages are lost", () => {
    fc.assert(
      fc.property(
        fc.array(load(3), { minLength: 1, maxLength: 5 }),
        fc.infiniteStream(fc.boolean()),
        (loads, lost) => {
          const draws = lost[Symbol.iterator]();
          const { relays, busy } = play(loads, 3, {
            isLost: () => draws.next().value === true,
          });
          expectWithinRoom(relays);
          for (const { at, from, to, estimatedAt } of relays) {
            expect(wasBusy(busy[from]!, { from: at, to: at })).toContain(true);
            expect(wasBusy(busy[to]!, {
              from: estimatedAt - KNOWN_AFTER_MS,
              to: estimatedAt,
            })).toContain(false);
          }
        },
      ),
      { numRuns: 30 },
    );
  });
});
