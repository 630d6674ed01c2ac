/**
 * Requests of one customer's key, sent to all entries in turn.
 *
 * @module
 */
import { setTimeout as wait } from "node:timers/promises";
import { HEADERS } from "@sassafrasstep/platform";
import { callPlatform } from "./platform_caller.ts";
import type { PlatformEntry } from "./platform_fleet.ts";

/** Statuses of so many requests with a key, one every `every` milliseconds. */
export function statusesOf(
  key: string,
  { entries, requests, every }: {
    entries: readonly PlatformEntry[];
    requests: number;
    every: number;
  },
): Promise<number[]> {
  return Promise.all(
    Array.from({ length: requests }, async (_, index) => {
      await wait(index * every);
      const { callers } = entries[index % entries.length]!;
      const { status } = await callPlatform(callers, {
        path: "/again/x",
        call: `${key}-${index}`,
        headers: { [HEADERS.key]: key },
      });
      return status;
    }),
  );
}
