/**
 * Timeouts that count pauses of the process only in part.
 *
 * @module
 */
import { afterPoll, type Cancel } from "./after_poll.ts";

/** Number of intervals that a timeout is split into; a pause counts as two of them at most. */
const INTERVAL_COUNT = 4;
/** Total timeout of an answer whose bytes keep arriving; after it, the link is better used for other requests. */
const MAX_RECEIVE_MS = 15_000;

/**
 * Calls `run` after the process has been active for `timeMs` milliseconds. Meant for work that takes several
 * iterations of the event loop: if the process was paused before it sent its request, the answer is not late.
 */
export function afterActiveTime(timeMs: number, run: () => void): Cancel {
  const part = timeMs / INTERVAL_COUNT;
  let left = timeMs;
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

/** Runs work and aborts it after the process has been active for `timeMs` milliseconds. */
export async function withActiveTimeout<Result>(
  timeMs: number,
  work: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> {
  const controller = new AbortController();
  const cancel = afterActiveTime(timeMs, () => abort(controller));
  try {
    return await work(controller.signal);
  } finally {
    cancel();
  }
}

/**
 * Runs work and aborts it after the process has been active for `idleMs` milliseconds without a call of
 * `onActivity`. With only a total timeout, an answer that is large for its link would never arrive.
 */
export async function withIdleTimeout<Result>(
  idleMs: number,
  work: (signal: AbortSignal, onActivity: () => void) => Promise<Result>,
): Promise<Result> {
  return await withActiveTimeout(MAX_RECEIVE_MS, async (totalSignal) => {
    const controller = new AbortController();
    const startTimer = (): Cancel =>
      afterActiveTime(idleMs, () => abort(controller));
    let cancel = startTimer();
    const onActivity = (): void => {
      cancel();
      cancel = startTimer();
    };
    try {
      return await work(
        AbortSignal.any([totalSignal, controller.signal]),
        onActivity,
      );
    } finally {
      cancel();
    }
  });
}

function abort(controller: AbortController): void {
  controller.abort(new DOMException("Timed out", "TimeoutError"));
}
