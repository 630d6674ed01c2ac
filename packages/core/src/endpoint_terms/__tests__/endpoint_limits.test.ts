import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  type EndpointId,
  EndpointLimits,
  type Incarnation,
  instant,
  type LimitMessage,
} from "../../index.ts";
import { type LimitEvent, LimitModel } from "./limit_model.ts";

const WINDOW_MS = 4_000;
/** In a window, entries together may send this many times the limit, plus the slack. */
const OVERSHOOT = 1.5;
const SLACK = 5;
/** Time after a change of the limit until the new one has to hold. */
const SETTLE_MS = 2_000;
const RECORD = { id: "e" as EndpointId, life: 1 } as never;
const ANSWER = { call: "c", status: 200 };

/** The highest number of instants within any window. */
function maxWithinWindow(instants: readonly number[]): number {
  return instants.reduce((max, start) =>
    Math.max(
      max,
      instants.filter((at) => at >= start && at < start + WINDOW_MS).length,
    ), 0);
}

const perSecond = fc.oneof(
  fc.double({ min: 0.1, max: 1, noNaN: true }),
  fc.double({ min: 1, max: 20, noNaN: true }),
);
const entry = fc.nat({ max: 7 });
const event: fc.Arbitrary<LimitEvent> = fc.oneof(
  fc.record({ kind: fc.constant("limit" as const), perSecond }),
  fc.constant({ kind: "limit" as const, perSecond: undefined }),
  fc.record({
    kind: fc.constant("issuer" as const),
    entry,
    maxLagMs: fc.nat({ max: 900 }),
  }),
  fc.record({
    kind: fc.constant("pause" as const),
    entry,
    time: fc.nat({ max: 3_000 }),
  }),
  fc.record({ kind: fc.constant("restart" as const), entry }),
  fc.constant({ kind: "life" as const }),
);

describe("limits that endpoints state", () => {
  // Guards against entries that together exceed a limit while they disagree about the issuer, pause or restart.
  it("hold for all entries together under any sequence of events", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 8 }),
        fc.constantFrom(25, 100, 400),
        fc.constantFrom(0, 0.2),
        fc.array(
          fc.record({ event, pause: fc.nat({ max: 4_000 }) }),
          { maxLength: 8 },
        ),
        fc.nat(),
        (entries, requestPeriodMs, loss, steps, seed) => {
          const model = new LimitModel({
            entries,
            requestPeriodMs,
            loss,
            seed,
          });
          model.run(4_000);
          model.apply({ kind: "limit", perSecond: 2 });
          model.run(3_000);
          for (const { event, pause } of steps) {
            model.apply(event);
            model.run(pause);
          }
          model.run(8_000);
          const { limits, arrivals } = model;
          limits.forEach(({ at, perSecond }, index) => {
            const end = limits[index + 1]?.at ?? Infinity;
            const settledArrivals = arrivals.filter((arrival) =>
              arrival >= at + SETTLE_MS && arrival < end
            );
            expect(maxWithinWindow(settledArrivals)).toBeLessThanOrEqual(
              (perSecond ?? Infinity) * OVERSHOOT * WINDOW_MS / 1_000 + SLACK,
            );
          });
        },
      ),
      { numRuns: 150 },
    );
  });

  it.each([[1, 0.3], [4, 0.3], [4, 4], [8, 1.2], [8, 30], [30, 1], [30, 6]])(
    "are used almost in full by %i entries at %d requests per second",
    (entries, perSecond) => {
      const model = new LimitModel({
        entries,
        requestPeriodMs: 100,
        loss: 0,
        seed: 1,
      });
      model.run(4_000);
      model.apply({ kind: "limit", perSecond });
      model.run(40_000);
      const settledArrivals = model.arrivals.filter((at) =>
        at >= 4_000 + SETTLE_MS
      );
      expect(settledArrivals.length).toBeGreaterThan(0.8 * perSecond * 38);
      expect(settledArrivals.length).toBeLessThanOrEqual(
        1.05 * perSecond * 38 + 2,
      );
    },
  );

  // Guards against an issuer that sends without limit after its restart: it announces limits to the other entries,
  // but none of them announced the limit to it.
  it("are announced to a restarted entry that has to issue their permits", () => {
    const sent: { to: Incarnation; message: LimitMessage }[] = [];
    const build = (name: string): EndpointLimits =>
      new EndpointLimits({
        incarnation: name as Incarnation,
        issuerOf: () => "b" as Incarnation,
        peers: () => name === "a" ? ["b" as Incarnation] : [],
        reachableFraction: () => 1,
        isPublished: () => true,
        send: (to, message) => sent.push({ to, message }),
        log: () => {},
      }, instant(-10_000));
    const informed = build("a");
    const stated = { kind: "value", value: 2 } as const;
    informed.handleAnswer(RECORD, { stated, answer: ANSWER }, instant(0));
    sent.length = 0;
    const restarted = build("b");
    for (let at = 25; at < 1_000; at += 25) {
      informed.tick(instant(at));
    }
    sent.forEach(({ message }) => restarted.receive(message, instant(1_000)));
    expect(restarted.limitOf(RECORD)).toBe(2);
  });

  describe("at a single entry", () => {
    const lines: string[] = [];
    const build = (): EndpointLimits =>
      new EndpointLimits({
        incarnation: "a" as Incarnation,
        issuerOf: () => "a" as Incarnation,
        peers: () => [],
        reachableFraction: () => 1,
        isPublished: () => true,
        send: (_to: Incarnation, _message: LimitMessage) => {},
        log: (text) => lines.push(text),
      }, instant(-10_000));

    it("stay in force if an answer states an invalid value, which is logged once", () => {
      lines.length = 0;
      const limits = build();
      const stated = { kind: "value", value: 2 } as const;
      limits.handleAnswer(RECORD, { stated, answer: ANSWER }, instant(0));
      const invalid = { kind: "invalid", text: "soon", reason: "r" } as const;
      for (let at = 1; at < 5; at++) {
        const heard = { stated: invalid, answer: ANSWER };
        limits.handleAnswer(RECORD, heard, instant(at));
      }
      expect(limits.limitOf(RECORD)).toBe(2);
      expect(limits.ignored).toBe(4);
      expect(lines).toEqual([
        "Endpoint stated a limit.",
        "Limit of an endpoint is ignored.",
      ]);
    });

    it("never stop all requests, so that an endpoint can announce that its limit ended", () => {
      const limits = build();
      const stated = { kind: "value", value: 1e-9 } as const;
      limits.handleAnswer(RECORD, { stated, answer: ANSWER }, instant(0));
      let allowed = 0;
      for (let at = 0; at < 120_000; at += 25) {
        limits.tick(instant(at));
        if (limits.allows(RECORD, instant(at))) {
          limits.take(RECORD, instant(at));
          allowed++;
        }
      }
      expect(allowed).toBeGreaterThanOrEqual(3);
      expect(allowed).toBeLessThanOrEqual(6);
    });

    it("end when the endpoint that stated them restarts", () => {
      const limits = build();
      const stated = { kind: "value", value: 2 } as const;
      limits.handleAnswer(RECORD, { stated, answer: ANSWER }, instant(0));
      const next = { id: "e" as EndpointId, life: 2 } as never;
      expect(limits.limitOf(next)).toBeUndefined();
    });

    it("invalidate permits that were issued under a higher one", () => {
      const limits = build();
      const hear = (value: number, at: number): void =>
        limits.handleAnswer(RECORD, {
          stated: { kind: "value", value },
          answer: ANSWER,
        }, instant(at));
      hear(10, 0);
      expect(limits.allows(RECORD, instant(10))).toBe(true);
      const permit = limits.take(RECORD, instant(10));
      hear(0.1, 20);
      expect(limits.authorizeSend(RECORD, permit, instant(30))).toBe(false);
      expect(limits.withheld).toBe(1);
    });
  });
});
