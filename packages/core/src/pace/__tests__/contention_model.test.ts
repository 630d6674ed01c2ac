import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { instant, SeededRandomness } from "../../ids/index.ts";
import { contentionFactor, ContentionModel } from "../index.ts";

/** Learns from reports of machines whose contention is drawn anew each `periodMs`. */
function learnFrom(periodMs: number): ContentionModel {
  const model = new ContentionModel();
  const random = new SeededRandomness(3);
  const machines = Array.from({ length: 8 }, () => ({
    factor: 1,
    drawnAt: -periodMs * random.next(),
    report: undefined as { factor: number; at: never } | undefined,
  }));
  for (let now = 0; now < 60_000; now += 10) {
    for (const machine of machines) {
      if (now - machine.drawnAt >= periodMs) {
        machine.drawnAt += periodMs;
        machine.factor = random.next() < 0.15 ? 2.5 : 1;
      }
      if (random.next() < 0.1) {
        const report = { factor: machine.factor, at: instant(now) as never };
        model.learn(report, machine.report);
        machine.report = report;
      }
    }
  }
  return model;
}

describe("what reports of contention tell", () => {
  it("loses its weight with its age", () => {
    const model = new ContentionModel();
    const report = { factor: 2.5, at: instant(0) };
    const expected = [0, model.span / 2, model.span, 60_000].map((at) =>
      model.expected(report, instant(at))
    );
    expect(expected).toEqual([2.5, 1.75, 1, 1]);
  });

  it("is the average where nothing was reported", () => {
    const model = learnFrom(600);
    expect(model.average).toBeGreaterThan(1.1);
    expect(model.average).toBeLessThan(1.4);
    expect(model.expected(undefined, instant(0))).toBe(model.average);
  });

  it.each([250, 600, 1_500])(
    "counts for about as long as figures stay the same (%i ms)",
    (periodMs) => {
      const { span } = learnFrom(periodMs);
      expect(span).toBeGreaterThan(periodMs * 0.5);
      expect(span).toBeLessThan(periodMs * 1.8);
    },
  );

  it("teaches nothing about the span if figures never differ", () => {
    const model = new ContentionModel();
    const { span } = model;
    for (let at = 0; at < 10_000; at += 100) {
      model.learn(
        { factor: 1, at: instant(at + 100) },
        { factor: 1, at: instant(at) },
      );
    }
    expect(model.span).toBe(span);
  });

  // Guards against a false figure that makes an endpoint look infinitely fast or slow.
  it("stays within bounds, whatever is reported", () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.record({
            contention: fc.double({ min: 1e-9, max: 1e12, noNaN: true }),
            gap: fc.integer({ min: -1_000, max: 5_000 }),
          }),
          { maxLength: 60 },
        ),
        (reports) => {
          const model = new ContentionModel();
          let at = 0;
          let previous;
          for (const { contention, gap } of reports) {
            at += gap;
            const report = {
              factor: contentionFactor(contention),
              at: instant(at),
            };
            model.learn(report, previous);
            previous = report;
            const now = instant(at + 100);
            const relative = model.expected(report, now) / model.average;
            expect(relative).toBeGreaterThan(0.2);
            expect(relative).toBeLessThan(4.5);
            expect(model.span).toBeGreaterThanOrEqual(150);
            expect(model.span).toBeLessThanOrEqual(2_000);
          }
        },
      ),
    );
  });
});
