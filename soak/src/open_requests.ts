/**
 * Finds requests that are still open after all callers have finished.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { ByteEntry, RawEngine } from "@sassafrasstep/playground/bytes";

const MAX_WAIT_MS = 4_000;
const POLL_INTERVAL_MS = 50;

/** Waits until no request is open and describes those still open after `MAX_WAIT_MS`. */
export async function findOpenRequests(
  fleet: { engines: readonly RawEngine[]; entries: readonly ByteEntry[] },
): Promise<string[]> {
  const end = performance.now() + MAX_WAIT_MS;
  for (;;) {
    const open = await listOpenRequests(fleet);
    if (open.length === 0 || performance.now() > end) {
      return open;
    }
    await pause(POLL_INTERVAL_MS);
  }
}

async function listOpenRequests(
  { engines, entries }: {
    engines: readonly RawEngine[];
    entries: readonly ByteEntry[];
  },
): Promise<string[]> {
  const atEngines = engines.filter(({ open }) => open.size > 0)
    .map(({ id, open }) => `${id} still answers ${[...open].join(", ")}`);
  const atEntries = await Promise.all(entries.map(async ({ control }) => {
    const requests = await countRequests(control);
    return requests === 0 ? [] : [`${control} holds ${requests} requests`];
  }));
  return [...atEngines, ...atEntries.flat()];
}

/** Returns the number of requests in progress at an entry; 0 if it no longer answers because it is stopping. */
async function countRequests(control: string): Promise<number> {
  const answer = await fetch(`http://${control}/metrics`, {
    signal: AbortSignal.timeout(1_000),
  }).catch(() => undefined);
  const text = await answer?.text();
  const line = text?.match(/^\S*requests(?:\{[^}]*\})? (\d+)$/m);
  return Number(line?.[1] ?? 0);
}
