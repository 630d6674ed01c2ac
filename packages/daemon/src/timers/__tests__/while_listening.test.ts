import { setTimeout as wait } from "node:timers/promises";
import { describe, expect, it } from "vitest";
import { afterListening, whileListening } from "../while_listening.ts";

/** Holds the loop up, as a stopped process or a busy machine does. */
function block(time: number): void {
  const end = performance.now() + time;
  while (performance.now() < end);
}

// A read of the platform takes several turns of the loop. With a pause between them its time was over
// before the process had asked, and the platform counted as away.
describe("a time limit", () => {
  it("does not count a pause of the process for more than a part of it", async () => {
    let over = false;
    const cancel = afterListening(400, () => over = true);
    for (let pause = 0; pause < 2; pause++) {
      await wait(1);
      block(400);
    }
    await new Promise((resolve) => setImmediate(resolve));
    expect(over).toBe(false);
    cancel();
  });

  it("aborts work that does not end", async () => {
    const work = whileListening(
      40,
      (signal) =>
        new Promise((_, reject) =>
          signal.addEventListener("abort", () => reject(signal.reason))
        ),
    );
    await expect(work).rejects.toThrow("Timed out");
  });

  it("leaves work alone that has ended", async () => {
    let kept: AbortSignal | undefined;
    const result = await whileListening(20, (signal) => {
      kept = signal;
      return Promise.resolve(7);
    });
    await wait(60);
    expect(result).toBe(7);
    expect(kept?.aborted).toBe(false);
  });
});
