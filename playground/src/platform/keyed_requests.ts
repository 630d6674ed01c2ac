/**
 * Sends requests with a customer's key to the entries in turn.
 *
 * @module
 */
import { setTimeout as wait } from "node:timers/promises";
import { HEADERS } from "@sassafrasstep/platform";
import { callPlatform } from "./platform_caller.ts";
import type { PlatformEntry } from "./platform_fleet.ts";

/** Sends requests with a key at a fixed interval, round robin over the entries; resolves with their statuses. */
export function sendKeyedRequests(
  key: string,
  { entries, requests, intervalMs }: {
    entries: readonly PlatformEntry[];
    requests: number;
    intervalMs: number;
  },
): Promise<number[]> {
  return Promise.all(
    Array.from({ length: requests }, async (_, index) => {
      await wait(index * intervalMs);
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
