import { describe, expect, it } from "vitest";
import { type CustomerId, instant, type RequestId } from "../../ids/index.ts";
import type { RequestClass } from "../../text/index.ts";
import { LOW_CLASS_INTERVAL, RetryThrottle, ServiceQueue } from "../index.ts";

function fill(
  queue: ServiceQueue,
  names: readonly string[],
  { requestClass = "screen", cost = 1 }: {
    requestClass?: RequestClass;
    cost?: number;
  } = {},
): void {
  for (const name of names) {
    const customer = name.split("-")[0] as CustomerId;
    queue.add({
      request: name as RequestId,
      customer,
      requestClass,
      cost,
      since: instant(0),
    });
  }
}

function drain(queue: ServiceQueue, count: number): string[] {
  return Array.from({ length: count }, () => queue.take()?.request ?? "none");
}

describe("a service's queue", () => {
  it("serves the class screen before the class summary", () => {
    const queue = new ServiceQueue();
    fill(queue, ["a-1"], { requestClass: "summary" });
    fill(queue, ["a-2", "a-3"]);
    expect(drain(queue, 3)).toEqual(["a-2", "a-3", "a-1"]);
  });

  it("does not starve the class summary under steady load of the class screen", () => {
    const queue = new ServiceQueue();
    fill(queue, ["s-1"], { requestClass: "summary" });
    fill(queue, Array.from({ length: 20 }, (_, index) => `a-${index}`));
    expect(drain(queue, LOW_CLASS_INTERVAL)).toContain("s-1");
  });

  it("is fair between a customer with a burst and one with a single request", () => {
    const queue = new ServiceQueue();
    fill(queue, Array.from({ length: 50 }, (_, index) => `rush-${index}`));
    fill(queue, ["small-1"]);
    expect(drain(queue, 6)).toContain("small-1");
  });

  it("weighs requests by their cost", () => {
    const queue = new ServiceQueue();
    fill(queue, Array.from({ length: 10 }, (_, index) => `heavy-${index}`), {
      cost: 8,
    });
    fill(queue, Array.from({ length: 10 }, (_, index) => `light-${index}`));
    const first = drain(queue, 9);
    expect(first.filter((name) => name.startsWith("light")).length)
      .toBeGreaterThan(first.length / 2);
  });

  it("does not return a removed request, and ends up empty", () => {
    const queue = new ServiceQueue();
    fill(queue, ["a-1", "a-2", "b-1"]);
    expect(queue.remove("a-1" as RequestId)).toBe(true);
    expect(queue.remove("a-1" as RequestId)).toBe(false);
    expect([...drain(queue, 3), queue.size]).toEqual(["a-2", "b-1", "none", 0]);
  });
});

describe("the retry budget", () => {
  it("allows a burst, then one retry for every ten successes", () => {
    const budget = new RetryThrottle();
    const burst =
      Array.from({ length: 15 }, () => budget.trySpend()).filter(Boolean)
        .length;
    for (let success = 0; success < 10; success++) {
      budget.recordSuccess();
    }
    expect([burst, budget.trySpend(), budget.trySpend()]).toEqual([
      10,
      true,
      false,
    ]);
  });
});
