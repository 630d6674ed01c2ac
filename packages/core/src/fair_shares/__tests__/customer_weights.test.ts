import { describe, expect, it } from "vitest";
import type { CustomerLimit } from "../../customers/index.ts";
import type { CustomerId } from "../../ids/index.ts";
import { customerWeights, type Sharer } from "../index.ts";

function weightsOf(
  limits: Record<string, Partial<CustomerLimit> | undefined>,
): Map<Sharer, number> {
  const limitOf = (id: CustomerId): CustomerLimit | undefined => {
    const limit = limits[id];
    return limit && {
      unit: "tokens",
      perSecond: 0,
      burst: 0,
      plainTokens: 0,
      ...limit,
    };
  };
  const customers = Object.keys(limits) as CustomerId[];
  return customerWeights([...customers, undefined], {
    limitOf,
    workPerRequest: 2_000,
  });
}

describe("weights of customers", () => {
  it("are their limits, in tokens", () => {
    const weights = weightsOf({
      a: { perSecond: 10_000 },
      b: { unit: "requests", perSecond: 10 },
    });
    expect(weights.get("a" as CustomerId)).toBe(10_000);
    expect(weights.get("b" as CustomerId)).toBe(20_000);
  });

  it("are the mean for requests without a customer and customers without a limit", () => {
    const weights = weightsOf({
      a: { perSecond: 10_000 },
      b: { perSecond: 30_000 },
      c: undefined,
    });
    expect(weights.get("c" as CustomerId)).toBe(20_000);
    expect(weights.get(undefined)).toBe(20_000);
  });

  it("are equal where nobody has a limit", () => {
    expect([...weightsOf({ a: undefined, b: undefined }).values()]).toEqual([
      1,
      1,
      1,
    ]);
  });

  /** Guards against a division by zero, and against a customer that waits for ever once its limit was set to zero. */
  it("are above zero for a limit of zero", () => {
    const weights = weightsOf({ a: { perSecond: 0 }, b: { perSecond: 100 } });
    expect(weights.get("a" as CustomerId)).toBeGreaterThan(0);
    const alone = weightsOf({ a: { perSecond: 0 } });
    expect(Math.min(...alone.values())).toBeGreaterThan(0);
  });
});
