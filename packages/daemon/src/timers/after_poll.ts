/**
 * Timers that fire after pending socket reads.
 *
 * @module
 */

/** Cancels a timer; has no effect if the timer has fired. */
export type Cancel = () => void;

/**
 * Calls `run` after `delayMs` milliseconds and after the sockets have been polled once since then. The event
 * loop runs timers before it reads sockets: after a pause of the process, a plain timer would time out
 * requests whose answers have already arrived.
 */
export function afterPoll(delayMs: number, run: () => void): Cancel {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(run);
  }, delayMs);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
