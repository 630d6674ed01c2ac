import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import {
  EndpointBackoffs,
  type EndpointId,
  instant,
  type StatedValue,
} from "../../index.ts";

const RECORD = { id: "e" as EndpointId, life: 1 } as never;
const ANSWER = { call: "c", status: 503 };
/** Step of the virtual time. */
const STEP_MS = 10;

function restOf(value: number): StatedValue {
  return { kind: "value", value };
}

describe("endpoints that ask to back off", () => {
  let backoffs: EndpointBackoffs;
  let lines: string[];

  const hear = (stated: StatedValue, at: number): void =>
    backoffs.handleAnswer(RECORD, { stated, answer: ANSWER }, instant(at));
  const waitAt = (at: number): number => backoffs.waitFor(RECORD, instant(at));

  beforeEach(() => {
    lines = [];
    backoffs = new EndpointBackoffs({ log: (text) => lines.push(text) });
  });

  it("get no request until the stated time", () => {
    hear(restOf(3), 0);
    expect(waitAt(1)).toBe(2_999);
    expect(waitAt(2_999)).toBe(1);
    expect(waitAt(3_000)).toBe(0);
  });

  it("get the longest stated period, in whatever order answers arrive", () => {
    hear(restOf(5), 0);
    hear(restOf(1), 10);
    expect(waitAt(20)).toBe(4_980);
  });

  it("get single requests afterwards, at intervals that shrink with each served one", () => {
    hear(restOf(1), 0);
    const gaps: number[] = [];
    let last = 1_000;
    for (let at = 1_000; at < 3_000; at += 1) {
      if (waitAt(at) === 0 && gaps.length < 4) {
        gaps.push(at - last);
        last = at;
        backoffs.recordSent(RECORD, instant(at));
        backoffs.recordServed(RECORD, instant(at));
      }
    }
    expect(gaps).toEqual([0, 200, 100, 50]);
    expect(waitAt(3_000)).toBe(0);
    expect(lines.at(-1)).toBe("Endpoint is back from its rest.");
  });

  it("get requests again after a maximum period, also if they state a year", () => {
    hear(restOf(2_026), 0);
    expect(waitAt(60_000)).toBe(0);
    hear(restOf(31_536_000), 60_000);
    expect(waitAt(120_000)).toBe(0);
  });

  it("get requests as before if they state an invalid value, which is logged once", () => {
    const stated = { kind: "invalid", text: "soon", reason: "r" } as const;
    hear(stated, 0);
    hear(stated, 1);
    expect(waitAt(2)).toBe(0);
    expect(backoffs.ignored).toBe(2);
    expect(lines).toEqual(["Rest of an endpoint is ignored."]);
  });

  it("get requests again once they restart", () => {
    hear(restOf(3), 0);
    const next = { id: "e" as EndpointId, life: 2 } as never;
    expect(backoffs.waitFor(next, instant(1))).toBe(0);
  });

  // Guards against a back-off period that ends early, or never, in whatever order an endpoint refuses and serves.
  it("get no request in any back-off period, and requests again soon after the last one", () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            pause: fc.nat({ max: 3_000 }),
            rest: fc.double({ min: 0.01, max: 5, noNaN: true }),
          }),
          { maxLength: 8 },
        ),
        fc.boolean(),
        (steps, serves) => {
          backoffs = new EndpointBackoffs({ log: () => {} });
          let now = 0;
          let until = 0;
          let sentAt = 0;
          const run = (time: number): void => {
            for (const end = now + time; now < end; now += STEP_MS) {
              if (waitAt(now) === 0) {
                expect(now).toBeGreaterThanOrEqual(until);
                sentAt = now;
                backoffs.recordSent(RECORD, instant(now));
                if (serves) {
                  backoffs.recordServed(RECORD, instant(now));
                }
              }
            }
          };
          for (const { pause, rest } of steps) {
            run(pause);
            hear(restOf(rest), now);
            until = Math.max(until, now + rest * 1_000);
          }
          run(Math.max(0, until - now) + 1_000);
          expect(sentAt).toBeGreaterThan(now - 300);
        },
      ),
      { numRuns: 300 },
    );
  });
});
