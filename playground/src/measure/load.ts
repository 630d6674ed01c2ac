/**
 * A seeded load on one region: every balancer gets the same requests at the same times.
 *
 * @module
 */
import { type Randomness, SeededRandomness } from "@sassafrasstep/core";
import type { Client, ListedEntry } from "../client/index.ts";

/** A request of the load, with the time at which to send it. */
export interface PlannedRequest {
  readonly atMs: number;
  readonly customer: string;
  readonly requestClass: "screen" | "summary";
  readonly prompt: string;
  readonly maxTokens: number;
  /** Index of the entry of the region that gets the request. */
  readonly entry: number;
}

/** The outcome and timings of one request. */
export interface ObservedRequest {
  readonly requestClass: "screen" | "summary";
  readonly atMs: number;
  readonly status: number;
  readonly whole: boolean;
  readonly firstTokenMs: number;
  readonly wholeMs: number;
}

/** The rate, duration and distributions of a load. */
export interface LoadShape {
  readonly seed: number;
  readonly seconds: number;
  readonly perSecond: number;
  /** Number of tenants. A tenant's prompts all begin with the same long policy text. */
  readonly tenants: number;
  readonly customers: readonly {
    readonly id: string;
    readonly share: number;
  }[];
}

const POLICY_LENGTH_CHARACTERS = 6_000;
const SUMMARY_SHARE = 0.2;
const SCREEN_TOKENS = 30;
const SUMMARY_TOKENS = 100;
const DEADLINE_MS = 15_000;
const ENTRY_COUNT = 4;

/** Plans a load with exponential gaps between requests and a Zipf-like distribution of tenants. */
export function planLoad(shape: LoadShape): PlannedRequest[] {
  const random = new SeededRandomness(shape.seed);
  const planned: PlannedRequest[] = [];
  let atMs = 0;
  while (atMs < shape.seconds * 1_000) {
    atMs += (-Math.log(1 - random.next()) * 1_000) / shape.perSecond;
    planned.push(planRequest(shape, { atMs, random, number: planned.length }));
  }
  return planned;
}

function planRequest(
  { tenants, customers }: LoadShape,
  { atMs, random, number }: {
    atMs: number;
    random: Randomness;
    number: number;
  },
): PlannedRequest {
  const tenant = Math.floor(tenants ** random.next()) - 1;
  const requestClass = random.next() < SUMMARY_SHARE ? "summary" : "screen";
  const policy = `Policy of tenant ${tenant}. `.padEnd(
    POLICY_LENGTH_CHARACTERS,
    `Visitors of tenant ${tenant} wait in the lobby. `,
  );
  return {
    atMs,
    customer: pickCustomer(customers, random.next()),
    requestClass,
    prompt: `${policy} Question ${number}.`,
    maxTokens: requestClass === "summary" ? SUMMARY_TOKENS : SCREEN_TOKENS,
    entry: Math.floor(random.next() * ENTRY_COUNT),
  };
}

function pickCustomer(
  customers: LoadShape["customers"],
  share: number,
): string {
  let sum = 0;
  for (const { id, share: customerShare } of customers) {
    sum += customerShare;
    if (share < sum) {
      return id;
    }
  }
  return customers.at(-1)!.id;
}

/** Sends each request of a load at its planned time and waits for all answers. */
export async function runLoad(
  planned: readonly PlannedRequest[],
  { clients, entries }: {
    clients: ReadonlyMap<string, Client>;
    entries: readonly ListedEntry[];
  },
): Promise<ObservedRequest[]> {
  const startedAt = performance.now();
  return await Promise.all(
    planned.map(async (request): Promise<ObservedRequest> => {
      const { atMs, customer, requestClass, prompt, maxTokens, entry } =
        request;
      await new Promise((resolve) =>
        setTimeout(resolve, atMs - (performance.now() - startedAt))
      );
      try {
        const { url } = entries[entry % entries.length]!;
        const chatRequest = {
          prompt,
          maxTokens,
          requestClass,
          deadlineMs: DEADLINE_MS,
          service: "pool",
        };
        const { status, whole, firstTokenMs, wholeMs } = await clients.get(
          customer,
        )!.streamChat(url, chatRequest);
        return { requestClass, atMs, status, whole, firstTokenMs, wholeMs };
      } catch {
        return {
          requestClass,
          atMs,
          status: 0,
          whole: false,
          firstTokenMs: 0,
          wholeMs: 0,
        };
      }
    }),
  );
}
