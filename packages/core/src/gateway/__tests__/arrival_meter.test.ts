import { describe, expect, it } from "vitest";
import { instant, type ServiceId } from "../../index.ts";
import { ArrivalMeter } from "../arrival_meter.ts";

const POOL = "pool" as ServiceId;

describe("the work of the last second", () => {
  /**
   * Guards against a busy region that reports too little work, or even less than none. Requests waited for over
   * a second and were then relayed to another region. Their work was subtracted from the current second, which
   * no longer contained it.
   */
  it("does not subtract work whose bucket has already expired", () => {
    const meter = new ArrivalMeter();
    meter.add(POOL, 200, instant(0));
    meter.add(POOL, 70, instant(1_400));
    meter.subtract(POOL, 200, instant(0), instant(1_500));
    expect(meter.lastSecond(POOL, instant(1_500))).toBe(70);
  });

  it("subtracts relayed work while that would still count", () => {
    const meter = new ArrivalMeter();
    meter.add(POOL, 200, instant(0));
    meter.add(POOL, 70, instant(400));
    meter.subtract(POOL, 200, instant(0), instant(500));
    expect(meter.lastSecond(POOL, instant(500))).toBe(70);
    expect(meter.lastSecond(POOL, instant(1_050))).toBe(70);
    expect(meter.lastSecond(POOL, instant(1_500))).toBe(0);
  });
});
