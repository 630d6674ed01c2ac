/**
 * Timers that come after what lies in the sockets.
 *
 * @module
 */

/** Ends a timer; it may have fired already. */
export type Cancel = () => void;

/**
 * Calls back after `time` milliseconds, and after the sockets were looked at once since. The loop serves
 * timers first: after a pause of the process, whatever waits for an answer would be given up although the
 * answer is there to be read.
 */
export function afterPoll(time: number, run: () => void): Cancel {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(run);
  }, time);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
