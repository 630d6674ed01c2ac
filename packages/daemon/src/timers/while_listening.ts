/**
 * Time limits that do not count the process's own pauses.
 *
 * @module
 */
import { afterPoll, type Cancel } from "./after_poll.ts";

/** Parts of a time limit; a pause counts for two of them at the most. */
const PARTS = 4;
/** An answer whose bytes keep coming is given up after this: the link would be better used otherwise. */
const MOST_HEARING_MS = 15_000;

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
  const cancel = afterListening(time, () => abort(controller));
  try {
    return await work(controller.signal);
  } finally {
    cancel();
  }
}

/**
 * Work that is aborted once the process has listened for `silence` milliseconds without a call of `heard`.
 * Limited as a whole, an answer that is large for its link would never arrive.
 */
export async function whileHearing<Result>(
  silence: number,
  work: (signal: AbortSignal, heard: () => void) => Promise<Result>,
): Promise<Result> {
  return await whileListening(MOST_HEARING_MS, async (whole) => {
    const controller = new AbortController();
    const listen = (): Cancel =>
      afterListening(silence, () => abort(controller));
    let cancel = listen();
    const heard = (): void => {
      cancel();
      cancel = listen();
    };
    try {
      return await work(AbortSignal.any([whole, controller.signal]), heard);
    } finally {
      cancel();
    }
  });
}

function abort(controller: AbortController): void {
  controller.abort(new DOMException("Timed out", "TimeoutError"));
}
