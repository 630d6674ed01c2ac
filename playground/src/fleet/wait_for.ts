/**
 * Polls conditions until they hold.
 *
 * @module
 */

const DEFAULT_TIMEOUT_MS = 30_000;
const POLL_MS = 50;

/**
 * Polls a condition until it holds; one that throws does not hold yet. Throws an error with the condition's
 * name on timeout.
 */
export async function waitFor(
  name: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await evaluate(condition)) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`Timed out after ${timeoutMs} ms waiting for ${name}`);
}

async function evaluate(
  condition: () => Promise<boolean> | boolean,
): Promise<boolean> {
  try {
    return await condition();
  } catch {
    return false;
  }
}
