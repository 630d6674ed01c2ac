import { once } from "node:events";
import { describe, expect, it } from "vitest";
import { callTimeout, CallTimeoutError } from "../index.ts";

const TIMEOUT_MS = 100;

/** Blocks the loop. */
function stall(forMs: number): void {
  const until = performance.now() + forMs;
  while (performance.now() < until) {
    // Nothing else runs.
  }
}

describe("the timeout of a call", () => {
  it("ends a call that is not answered", async () => {
    const startedAt = performance.now();
    const signal = callTimeout(TIMEOUT_MS);
    // Its timer keeps no process alive, so that another has to.
    const keeper = setInterval(() => {}, 10);
    await once(signal, "abort");
    clearInterval(keeper);
    expect(signal.reason).toBeInstanceOf(CallTimeoutError);
    expect(performance.now() - startedAt).toBeGreaterThan(TIMEOUT_MS - 5);
  });

  it("begins anew after a pause that used it up", async () => {
    const signal = callTimeout(TIMEOUT_MS);
    stall(3 * TIMEOUT_MS);
    const wokeAt = performance.now();
    const keeper = setInterval(() => {}, 10);
    await once(signal, "abort");
    clearInterval(keeper);
    expect(performance.now() - wokeAt).toBeGreaterThan(TIMEOUT_MS - 5);
  });
});
