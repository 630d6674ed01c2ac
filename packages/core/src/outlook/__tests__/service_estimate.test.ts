import { describe, expect, it } from "vitest";
import { estimateService } from "../../index.ts";
import { engine, figures } from "./outlook_fixture.ts";

describe("the estimate of a service", () => {
  it("starts requests at once at idle engines and has most of their time to spare", () => {
    const { startDelays, spareTokensPerSecond, backlogMs } = estimateService(
      figures([engine(), engine()]),
    );
    expect(startDelays).toEqual([40, 40, 40]);
    expect(spareTokensPerSecond).toBeCloseTo(70_000);
    expect(backlogMs).toBe(0);
  });

  it("counts what waits at the pace of all engines", () => {
    const { startDelays, backlogMs } = estimateService(
      figures([engine(), engine({ tokensPerMs: 20 })], 49_000),
    );
    expect(startDelays[1]).toBeCloseTo(40 + 1_000);
    expect(backlogMs).toBeCloseTo(700);
  });

  it("has less to spare at engines that are slowed down", () => {
    const spare = (tokensPerMs: number): number =>
      estimateService(figures([engine({ tokensPerMs })])).spareTokensPerSecond;
    expect(spare(20)).toBeCloseTo(spare(50) * 0.4);
  });

  it("has nothing to spare at engines without a free place, and starts requests later", () => {
    const { startDelays, spareTokensPerSecond } = estimateService(
      figures([engine({ freePlaces: 0 })]),
    );
    expect(spareTokensPerSecond).toBe(0);
    expect(startDelays[0]).toBe(140);
  });

  it("lets urgent requests pass the rest that engines keep for answers", () => {
    const { startDelays } = estimateService(figures([engine({ restMs: 300 })]));
    expect(startDelays).toEqual([40, 340, 340]);
  });

  it("spares nothing of what waits already", () => {
    const { spareTokensPerSecond } = estimateService(
      figures([engine()], 50_000),
    );
    expect(spareTokensPerSecond).toBe(0);
  });

  it("never starts without engines", () => {
    const estimate = estimateService(figures([], 100));
    expect(estimate.startDelays).toEqual([Infinity, Infinity, Infinity]);
    expect(estimate.spareTokensPerSecond).toBe(0);
    expect(estimate.tokensPerMs).toBe(0);
  });
});
