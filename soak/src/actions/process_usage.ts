/**
 * Samples the memory and the open descriptors of entries, and checks that they are bounded and given back.
 *
 * @module
 */
import { existsSync, readdirSync, readFileSync } from "node:fs";
import type { ProcessEntry } from "@sassafrasstep/playground/bytes";
import type { Violation } from "../promises.ts";

const SAMPLE_INTERVAL_MS = 500;
const KB_PER_MB = 1_024;
const MAX_MEMORY_MB = 200;
/** Half of the 1,024 that a process may usually open. */
const MAX_DESCRIPTORS = 512;
/** What the runtime keeps of the memory that it once used. */
const MAX_KEPT_MB = 32;
/** Connections that are kept for the next requests. */
const MAX_KEPT_DESCRIPTORS = 20;

/** Memory and descriptors of an entry at one time. */
export interface Usage {
  readonly entry: number;
  readonly pid: number;
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** Samples entries until it is stopped. */
export class UsageMeter {
  readonly samples: Usage[] = [];
  readonly #entries: readonly ProcessEntry[];
  readonly #timer = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);

  constructor(entries: readonly ProcessEntry[]) {
    this.#entries = entries;
    this.#sample();
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#sample();
  }

  #sample(): void {
    for (const [entry, { pid }] of this.#entries.entries()) {
      // An entry that has ended by itself is reported by another check.
      if (!existsSync(`/proc/${pid}/fd`)) {
        continue;
      }
      const status = readFileSync(`/proc/${pid}/status`, "utf8");
      const memoryKb = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0);
      this.samples.push({
        entry,
        pid,
        memoryMb: memoryKb / KB_PER_MB,
        descriptors: readdirSync(`/proc/${pid}/fd`).length,
      });
    }
  }
}

/** Finds entries that used too much at any time. */
export function findOverused(samples: readonly Usage[]): Violation[] {
  return findByProcess(samples, (own) => {
    const peakMb = Math.max(...own.map((sample) => sample.memoryMb));
    const peak = Math.max(...own.map((sample) => sample.descriptors));
    return [
      ...peakMb > MAX_MEMORY_MB ? [`used ${Math.round(peakMb)} MB`] : [],
      ...peak > MAX_DESCRIPTORS ? [`had ${peak} descriptors open`] : [],
    ];
  });
}

/** Finds entries that did not give back in the end what they had used. */
export function findKeptResources(samples: readonly Usage[]): Violation[] {
  return findByProcess(samples, (own) => {
    const { memoryMb, descriptors } = own.at(-1)!;
    const first = own[0]!;
    return [
      ...memoryMb > first.memoryMb + MAX_KEPT_MB
        ? [
          `kept ${Math.round(memoryMb)} MB after ${Math.round(first.memoryMb)}`,
        ]
        : [],
      ...descriptors > first.descriptors + MAX_KEPT_DESCRIPTORS
        ? [`kept ${descriptors} descriptors open after ${first.descriptors}`]
        : [],
    ];
  });
}

function findByProcess(
  samples: readonly Usage[],
  find: (own: readonly Usage[]) => string[],
): Violation[] {
  const pids = [...new Set(samples.map(({ pid }) => pid))];
  return pids.flatMap((pid) => {
    const own = samples.filter((sample) => sample.pid === pid);
    const call = `entry-${own[0]!.entry + 1}`;
    return find(own).map((what) => ({ call, what }));
  });
}
