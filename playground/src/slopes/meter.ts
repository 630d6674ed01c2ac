/**
 * Processor time and memory of repeated work.
 *
 * @module
 */
import { median, type Point } from "./fit.ts";

/** Repeats of each measurement; the median counts. */
export const REPEATS = 5;
export const BYTES_PER_KB = 1_024;

/** A measured slope: what grows with what. */
export interface Measurement {
  readonly name: string;
  readonly per: string;
  readonly unit: string;
  readonly points: readonly Point[];
}

/** Median microseconds of CPU of one run. */
export function cpuOf(count: number, run: () => unknown): number {
  for (let index = 0; index < count / 4; index++) {
    run();
  }
  const values = Array.from({ length: REPEATS }, () => {
    const cpu = process.cpuUsage();
    for (let index = 0; index < count; index++) {
      run();
    }
    const used = process.cpuUsage(cpu);
    return (used.user + used.system) / count;
  });
  return median(values);
}

/** Kilobytes of heap that are kept at each size. */
export function memorySlope(
  name: string,
  per: string,
  sizes: readonly number[],
  make: (size: number) => unknown,
): Measurement {
  const points = sizes.map((size): Point => {
    const before = heapKb();
    const kept = make(size);
    const value = heapKb() - before;
    return { size, value: kept === undefined ? 0 : value };
  });
  return { name: `memory of ${name}s`, per, unit: "KB heap", points };
}

function heapKb(): number {
  if (globalThis.gc === undefined) {
    throw new Error("Cannot measure memory: run node with --expose-gc");
  }
  globalThis.gc();
  globalThis.gc();
  return process.memoryUsage().heapUsed / BYTES_PER_KB;
}
