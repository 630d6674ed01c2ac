/**
 * Time limits that do not count the process's own pauses.
 *
 * @module
 */
import { afterPoll, type Cancel } from "./after_poll.ts";

/** Parts of a time limit; a pause counts for two of them at the most. */
const PARTS = 4;

/**
 * Calls back once the process has listened for `time` milliseconds. For what takes several turns of the
 * loop: a process that stood still has not asked yet, so nobody is late with an answer.
 */
export function afterListening(time: number, run: () => void): Cancel {
  const part = time / PARTS;
  let left = time;
  let cancel: Cancel;
  const next = (): void => {
    const from = performance.now();
    cancel = afterPoll(Math.min(part, left), () => {
      left -= Math.min(performance.now() - from, 2 * part);
      if (left > 0) {
        next();
      } else {
        run();
      }
    });
  };
  next();
  return () => cancel();
}

/** Work that is aborted once the process has listened for `time` milliseconds without its end. */
export async function whileListening<Result>(
  time: number,
  work: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> {
  const controller = new AbortController();
  const cancel = afterListening(
    time,
    () => controller.abort(new DOMException("Timed out", "TimeoutError")),
  );
  try {
    return await work(controller.signal);
  } finally {
    cancel();
  }
}
