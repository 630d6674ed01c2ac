/**
 * Timeouts of calls that our own pauses don't use up.
 *
 * @module
 */

/** A timer that fires later than this was held up by a pause of the process. */
const MOST_LATE_MS = 50;

/**
 * Aborts a call that isn't answered within `timeout` milliseconds in which the process ran.
 *
 * Timers are served before sockets, so after a pause every call under way would fail with its answer in
 * the socket, and whoever was asked would be taken for dead. So sockets are read once more before it
 * fails, and one that was held up for longer than that begins anew.
 */
export function callTimeout(timeout: number): AbortSignal {
  const controller = new AbortController();
  const arm = (): void => {
    const dueAt = performance.now() + timeout;
    const fire = (): void => {
      if (performance.now() - dueAt > MOST_LATE_MS) {
        arm();
      } else {
        setImmediate(() => controller.abort(new CallTimeoutError(timeout)));
      }
    };
    setTimeout(fire, timeout).unref();
  };
  arm();
  return controller.signal;
}

/** A call was not answered in time. */
export class CallTimeoutError extends Error {
  override readonly name = "CallTimeoutError";

  constructor(timeout: number) {
    super(`No answer came within ${timeout} ms`);
  }
}
