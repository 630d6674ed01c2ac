/**
 * What is left open when no caller waits any more.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { ByteEntry, RawEngine } from "@sassafrasstep/playground/bytes";

const WITHIN_MS = 4_000;
const POLL_MS = 50;

/** Waits for a while until nothing is open; tells what still is. */
export async function openRequests(
  places: { engines: readonly RawEngine[]; entries: readonly ByteEntry[] },
): Promise<string[]> {
  const end = performance.now() + WITHIN_MS;
  for (;;) {
    const open = await read(places);
    if (open.length === 0 || performance.now() > end) {
      return open;
    }
    await pause(POLL_MS);
  }
}

async function read(
  { engines, entries }: {
    engines: readonly RawEngine[];
    entries: readonly ByteEntry[];
  },
): Promise<string[]> {
  const atEngines = engines.filter(({ open }) => open.size > 0)
    .map(({ id, open }) => `${id} still answers ${[...open].join(", ")}`);
  const atEntries = await Promise.all(entries.map(async ({ control }) => {
    const requests = await readRequests(control);
    return requests === 0 ? [] : [`${control} holds ${requests} requests`];
  }));
  return [...atEngines, ...atEntries.flat()];
}

/** Requests under way at an entry; one that stops answers no more and holds none. */
async function readRequests(control: string): Promise<number> {
  const answer = await fetch(`http://${control}/metrics`, {
    signal: AbortSignal.timeout(1_000),
  }).catch(() => undefined);
  const text = await answer?.text();
  const line = text?.match(/^\S*requests(?:\{[^}]*\})? (\d+)$/m);
  return Number(line?.[1] ?? 0);
}
