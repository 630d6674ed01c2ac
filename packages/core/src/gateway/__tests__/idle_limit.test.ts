import { describe, expect, it } from "vitest";
import { instant } from "../../index.ts";
import type { Route } from "../../routes/index.ts";
import { maxIdleMs } from "../idle_limit.ts";

function limit(
  kind: Route["kind"],
  { heardAt, mayRetry = false }: {
    heardAt?: number | undefined;
    mayRetry?: boolean;
  },
): number {
  return maxIdleMs(
    { mayRetry, route: { kind } as Route },
    { heardAt: heardAt === undefined ? undefined : instant(heardAt) },
    instant(10_000),
  );
}

describe("the idle limit of a kept-alive connection", () => {
  // Guards against new connections for half of all requests. An entry that sends to an endpoint every
  // second used to open a connection each time, since a kept-alive one might be dead, although the
  // endpoint had just been heard on another.
  it("is long for an endpoint that was heard recently", () => {
    expect(limit("stream", { heardAt: 9_800 })).toBe(4_000);
    expect(limit("non_idempotent", { heardAt: 9_800 })).toBe(800);
  });

  // Guards against the loss of requests that must not be retried. If an endpoint falls silent or is cut
  // off, requests on kept-alive connections hang, while new connections would have failed without any
  // loss.
  it("is short for an endpoint that was not heard recently", () => {
    for (const heardAt of [undefined, 9_000]) {
      expect(limit("stream", { heardAt })).toBe(1_000);
      expect(limit("non_idempotent", { heardAt })).toBe(0);
    }
  });

  it("does not apply to a request that may be retried", () => {
    expect(limit("idempotent", { mayRetry: true })).toBe(Infinity);
  });
});
