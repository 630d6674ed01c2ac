/**
 * Waits for conditions.
 *
 * @module
 */

const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 50;

/** Polls a condition; throws with its name when it does not come true in time. */
export async function waitFor(
  name: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const until = performance.now() + timeoutMs;
  while (performance.now() < until) {
    if (await attempt(condition)) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`Waited ${timeoutMs} ms in vain for ${name}`);
}

async function attempt(
  condition: () => Promise<boolean> | boolean,
): Promise<boolean> {
  try {
    return await condition();
  } catch {
    return false;
  }
}
