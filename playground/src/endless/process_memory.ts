/**
 * Memory of a process.
 *
 * @module
 */
import { readFileSync, writeFileSync } from "node:fs";

const BYTES_PER_KILOBYTE = 1_024;

/** Value for `clear_refs` that resets the peak. */
const RESET_PEAK = "5";

/** Makes the present memory of a process its peak. */
export function resetPeakMemory(pid: number): void {
  writeFileSync(`/proc/${pid}/clear_refs`, RESET_PEAK);
}

/** The most memory that a process has used since its start or the last reset, in bytes. */
export function peakMemoryOf(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)![1]) * BYTES_PER_KILOBYTE;
}
