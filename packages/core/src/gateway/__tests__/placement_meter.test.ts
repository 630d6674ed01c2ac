import { describe, expect, it } from "vitest";
import { type CustomerId, instant, type ServiceId } from "../../index.ts";
import { PlacementMeter } from "../placement_meter.ts";

const SERVICE = "pool" as ServiceId;
const CUSTOMER = "clinic" as CustomerId;

describe("the meter of placed requests", () => {
  it("adds up the last second by service and customer", () => {
    const meter = new PlacementMeter();
    const add = (customer: CustomerId | undefined, at: number): void =>
      meter.add(SERVICE, { customer, prefill: 100 }, instant(at));
    add(CUSTOMER, 0);
    add(CUSTOMER, 900);
    add(undefined, 950);
    expect(meter.lastSecond(instant(950))).toEqual([
      { service: SERVICE, customer: CUSTOMER, requests: 2, tokens: 200 },
      { service: SERVICE, customer: undefined, requests: 1, tokens: 100 },
    ]);
    expect(meter.lastSecond(instant(1_500))).toEqual([
      { service: SERVICE, customer: CUSTOMER, requests: 1, tokens: 100 },
      { service: SERVICE, customer: undefined, requests: 1, tokens: 100 },
    ]);
    expect(meter.lastSecond(instant(5_000))).toEqual([]);
  });
});
