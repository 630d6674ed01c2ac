import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { instant } from "../../index.ts";
import { RelayRoom } from "../relay_room.ts";
import { knownOutlook, POOL, SOUTH } from "./outlook_fixture.ts";

const KEY = { region: SOUTH, service: POOL };
/** Longest time for which an account keeps unused room. */
const SAVED_MS = 300;

describe("room in another region", () => {
  it("is used up by what is sent, and fills at this entry's share", () => {
    const room = new RelayRoom();
    const has = (time: number): boolean =>
      room.has(
        KEY,
        { outlook: knownOutlook(100_000), entries: 4 },
        instant(time),
      );
    expect(has(0)).toBe(true);
    room.spend(KEY, 10_000);
    expect(has(0)).toBe(false);
    expect(has(90)).toBe(false);
    expect(has(110)).toBe(true);
  });

  /** Guards against sending to a region that has told nothing to spare since, or whose outlook has grown old. */
  it("ends when nothing is to spare any more", () => {
    const room = new RelayRoom();
    const at = (outlook: ReturnType<typeof knownOutlook>, time: number) =>
      room.has(KEY, { outlook, entries: 1 }, instant(time));
    expect(at(knownOutlook(50_000), 0)).toBe(true);
    expect(at(knownOutlook(0), 100)).toBe(false);
    expect(at(knownOutlook(50_000, 0), 200)).toBe(false);
  });

  /** Guards against all entries together sending a region more than it told. */
  it("is never exceeded by all entries together beyond the stated bound", () => {
    const step = fc.record({
      after: fc.integer({ min: 0, max: 200 }),
      entry: fc.nat({ max: 4 }),
      tokens: fc.integer({ min: 1, max: 12_000 }),
      spare: fc.integer({ min: 0, max: 400_000 }),
      weight: fc.constantFrom(0, 0.3, 1),
    });
    fc.assert(fc.property(
      fc.array(step, { minLength: 1, maxLength: 300 }),
      (steps) => {
        const entries = 5;
        const rooms = Array.from({ length: entries }, () => new RelayRoom());
        const sent: { at: number; tokens: number }[] = [];
        let now = 0;
        let mostSpare = 0;
        let longest = 0;
        for (const { after, entry, tokens, spare, weight } of steps) {
          now += after;
          mostSpare = Math.max(mostSpare, spare);
          const outlook = knownOutlook(spare, weight);
          const room = rooms[entry]!;
          if (room.has(KEY, { outlook, entries }, instant(now))) {
            expect(spare * weight).toBeGreaterThan(0);
            room.spend(KEY, tokens);
            sent.push({ at: now, tokens });
            longest = Math.max(longest, tokens);
          }
        }
        for (const [first, { at: from }] of sent.entries()) {
          let total = 0;
          for (const { at, tokens } of sent.slice(first)) {
            total += tokens;
            const bound = mostSpare * (at - from + SAVED_MS) / 1_000 +
              entries * longest;
            expect(total).toBeLessThanOrEqual(bound + 1e-6);
          }
        }
      },
    ));
  });
});
