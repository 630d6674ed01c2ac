import { describe, expect, it } from "vitest";
import { instant } from "../../index.ts";
import type { Route } from "../../routes/index.ts";
import { mostIdle } from "../idle_limit.ts";

function limit(
  kind: Route["kind"],
  { heardAt, mayRepeat = false }: {
    heardAt?: number | undefined;
    mayRepeat?: boolean;
  },
): number {
  return mostIdle(
    { mayRepeat, route: { kind } as Route },
    { heardAt: heardAt === undefined ? undefined : instant(heardAt) },
    instant(10_000),
  );
}

describe("idle time of a kept connection", () => {
  /**
   * Symptom: half of all requests pay for a new connection.
   * Sequence: an entry sends an endpoint something every second, on a connection of its own each time.
   * Cause: a kept one might be dead; but its endpoint was heard on another a moment ago.
   */
  it("is long at an endpoint that was heard just now", () => {
    expect(limit("stream", { heardAt: 9_800 })).toBe(4_000);
    expect(limit("non_idempotent", { heardAt: 9_800 })).toBe(800);
  });

  /**
   * Symptom: requests that may not repeat are lost at an endpoint that is silent or cut off.
   * Sequence: it falls silent; kept connections hang, new ones would have failed and cost nothing.
   * Cause: a kept connection was trusted though nothing was heard of its endpoint.
   */
  it("is short at one of which nothing is heard", () => {
    for (const heardAt of [undefined, 9_000]) {
      expect(limit("stream", { heardAt })).toBe(1_000);
      expect(limit("non_idempotent", { heardAt })).toBe(0);
    }
  });

  it("does not matter where the request may repeat", () => {
    expect(limit("idempotent", { mayRepeat: true })).toBe(Infinity);
  });
});
