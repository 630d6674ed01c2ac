import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { LimitModel } from "./limit_model.ts";

const RATE = 60_000;
const COST = 9_200;
const WINDOW_MS = 8_000;
/** Usage that the deployment allows above a limit: a quarter more, plus the slack of a few requests. */
const OVERSHOOT = 1.25;
const SLACK = 110_000;
const REGIONS = ["a", "b", "c"];

/** The highest cost that may be admitted in a window. */
function bound(rate = RATE, burst = RATE): number {
  return (rate * WINDOW_MS / 1_000 + burst) * OVERSHOOT + SLACK;
}

function build(seed = 1): LimitModel {
  return new LimitModel({ perSecond: RATE, burst: RATE, entries: 8, seed });
}

/** Returns a tick handler that sends requests at this fraction of the limit, spread over regions. */
function requestsAt(
  model: LimitModel,
  fraction: number,
  regions: readonly string[] = REGIONS,
  rate = RATE,
): (now: number) => void {
  let pendingCost = 0;
  let requestCount = 0;
  return () => {
    pendingCost += rate * fraction * 0.025;
    while (pendingCost >= COST) {
      pendingCost -= COST;
      model.request({
        region: regions[requestCount++ % regions.length]!,
        cost: COST,
      });
    }
  };
}

describe("a customer's limit over all entries", () => {
  // Guards against limits divided among entries: with equal shares each of 24 entries gets 2,500 tokens and can
  // never admit a request of 9,200.
  it("refuses nothing below the limit, whichever entries the customer uses", () => {
    const model = build();
    model.run(2_000, requestsAt(model, 0.3));
    const from = model.now;
    model.run(10_000, requestsAt(model, 0.85, ["a"]));
    model.run(10_000, requestsAt(model, 0.85));
    expect(model.totalCost(from, model.now, false)).toBe(0);
  });

  it("admits nearly the whole limit, and no more, of a customer that requests four times as much", () => {
    const model = build();
    model.run(3_000, requestsAt(model, 0.5));
    model.run(5_000, requestsAt(model, 4));
    const from = model.now;
    model.run(20_000, requestsAt(model, 4));
    const rate = model.totalCost(from, model.now, true) / 20;
    expect(rate).toBeGreaterThan(0.95 * RATE);
    expect(rate).toBeLessThan(1.1 * RATE);
    expect(model.maxAdmittedWithin(WINDOW_MS)).toBeLessThan(bound());
  });

  it("holds on both sides of a network partition", () => {
    const model = build();
    model.run(8_000, requestsAt(model, 0.8));
    model.partition("c", 1);
    model.run(6_000, requestsAt(model, 4));
    model.heal();
    model.run(6_000, requestsAt(model, 4));
    expect(model.maxAdmittedWithin(WINDOW_MS)).toBeLessThan(bound());
  });

  // Guards against a region that is disconnected twice within a window while a customer exceeds its limit on both
  // sides: each time, both sides used the whole limit until they detected the partition, 800 ms after the last
  // message. 791,200 tokens were admitted where 785,000 are allowed.
  it("holds if a region is disconnected twice within a window", () => {
    const model = build(979);
    model.run(8_000, requestsAt(model, 0.6));
    model.partition("a", 1);
    model.run(2_701, requestsAt(model, 4));
    model.partition("a", 0);
    model.run(826, requestsAt(model, 0.3));
    model.partition("a", 1);
    model.run(2_676, requestsAt(model, 2));
    model.partition("c", 0);
    model.run(1_226, requestsAt(model, 2));
    expect(model.maxAdmittedWithin(WINDOW_MS)).toBeLessThan(bound());
  });

  // Guards against processes that start with a full bucket: killing all of them twice admitted two more bursts.
  it("admits no further burst after all entries were killed twice", () => {
    const model = build();
    model.run(8_000, requestsAt(model, 4));
    model.restartAll();
    model.run(2_000, requestsAt(model, 4));
    model.restartAll();
    model.run(8_000, requestsAt(model, 4));
    expect(model.maxAdmittedWithin(WINDOW_MS)).toBeLessThan(bound());
  });

  // The slack of a few requests hides an additional burst of a small customer, but not of a large one.
  it("admits no additional burst of a large customer each time all entries are killed", () => {
    const rate = 1_400_000;
    const model = new LimitModel({
      perSecond: rate,
      burst: rate,
      entries: 8,
      seed: 1,
    });
    model.run(8_000, requestsAt(model, 4, REGIONS, rate));
    for (let kill = 0; kill < 4; kill++) {
      model.restartAll();
      model.run(1_000, requestsAt(model, 4, REGIONS, rate));
    }
    model.run(8_000, requestsAt(model, 4, REGIONS, rate));
    expect(model.maxAdmittedWithin(WINDOW_MS)).toBeLessThan(bound(rate, rate));
  });

  it("takes effect in time after it is lowered", () => {
    const model = build();
    model.run(4_000, requestsAt(model, 0.9));
    model.setLimit(RATE / 4, RATE / 4);
    model.run(1_000, requestsAt(model, 0.9));
    const from = model.now;
    model.run(16_000, requestsAt(model, 0.9));
    expect(model.totalCost(from, model.now, true)).toBeLessThan(
      (RATE / 4 * 16 + RATE / 4) * OVERSHOOT + SLACK,
    );
  });

  it("admits requests again soon after an aggregator was killed", () => {
    const model = build();
    model.run(4_000, requestsAt(model, 0.6));
    model.restart(0);
    const from = model.now;
    model.run(8_000, requestsAt(model, 0.6));
    const refused = model.totalCost(from, model.now, false);
    expect(refused).toBeLessThan(RATE * 0.6);
  });

  it("stays within its bound under any partitions, kills, message loss and demand", () => {
    const step = fc.record({
      kind: fc.constantFrom("cut", "heal", "restart", "restart", "none"),
      region: fc.constantFrom(...REGIONS),
      side: fc.integer({ min: 0, max: 2 }),
      fraction: fc.constantFrom(0.3, 0.9, 2, 4),
      time: fc.integer({ min: 300, max: 5_000 }),
      index: fc.nat(23),
    });
    fc.assert(
      fc.property(
        fc.array(step, { minLength: 2, maxLength: 6 }),
        fc.nat(1_000),
        fc.constantFrom(0, 0.03),
        (steps, seed, loss) => {
          const model = build(seed);
          model.loss = loss;
          model.run(8_000, requestsAt(model, 0.6));
          for (const { kind, region, side, fraction, time, index } of steps) {
            if (kind === "cut") {
              model.partition(region, side);
            } else if (kind === "heal") {
              model.heal();
            } else if (kind === "restart") {
              model.restart(index);
            }
            model.run(time, requestsAt(model, fraction));
          }
          expect(model.maxAdmittedWithin(WINDOW_MS)).toBeLessThan(bound());
        },
      ),
      { numRuns: Number(process.env.LIMIT_RUNS ?? 60) },
    );
  });
});
