import { setTimeout as wait } from "node:timers/promises";
import { describe, expect, it } from "vitest";
import { afterActiveTime, withActiveTimeout } from "../active_timeout.ts";

/** Blocks the event loop, as a stopped process or a busy machine does. */
function blockEventLoop(durationMs: number): void {
  const end = performance.now() + durationMs;
  while (performance.now() < end);
}

// Guards against a platform that counts as unreachable after a pause. A read of the platform takes several
// iterations of the event loop. With a pause between them it timed out before the process had sent its
// request.
describe("a timeout", () => {
  it("counts only part of a pause of the process", async () => {
    let timedOut = false;
    const cancel = afterActiveTime(400, () => timedOut = true);
    for (let pause = 0; pause < 2; pause++) {
      await wait(1);
      blockEventLoop(400);
    }
    await new Promise((resolve) => setImmediate(resolve));
    expect(timedOut).toBe(false);
    cancel();
  });

  it("aborts work that does not finish", async () => {
    const work = withActiveTimeout(
      40,
      (signal) =>
        new Promise((_, reject) =>
          signal.addEventListener("abort", () => reject(signal.reason))
        ),
    );
    await expect(work).rejects.toThrow("Timed out");
  });

  it("does not abort work that has finished", async () => {
    let capturedSignal: AbortSignal | undefined;
    const result = await withActiveTimeout(20, (signal) => {
      capturedSignal = signal;
      return Promise.resolve(7);
    });
    await wait(60);
    expect(result).toBe(7);
    expect(capturedSignal?.aborted).toBe(false);
  });
});
