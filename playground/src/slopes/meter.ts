/**
 * Measures the CPU time and heap of repeated work.
 *
 * @module
 */
import { median, type Point } from "./fit.ts";

/** Repetitions of each measurement, of which the median is taken. */
export const REPEATS = 5;
export const BYTES_PER_KIB = 1_024;

/** Values of a quantity at several sizes; `per` names what the size counts. */
export interface SlopeMeasurement {
  readonly name: string;
  readonly per: string;
  readonly unit: string;
  readonly points: readonly Point[];
}

/** Returns the median CPU time of one run in microseconds, after a warm-up of `count / 4` runs. */
export function medianCpuUs(count: number, run: () => unknown): number {
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

/** Measures the heap, in KB, that the object made at each size occupies. */
export function measureHeap(
  name: string,
  per: string,
  sizes: readonly number[],
  make: (size: number) => unknown,
): SlopeMeasurement {
  const points = sizes.map((size): Point => {
    const before = heapKb();
    const retained = make(size);
    const value = heapKb() - before;
    return { size, value: retained === undefined ? 0 : value };
  });
  return { name: `memory of ${name}s`, per, unit: "KB heap", points };
}

function heapKb(): number {
  if (globalThis.gc === undefined) {
    throw new Error("Cannot measure memory: run node with --expose-gc");
  }
  globalThis.gc();
  globalThis.gc();
  return process.memoryUsage().heapUsed / BYTES_PER_KIB;
}
