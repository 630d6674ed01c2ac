/**
 * Waves that once broke a promise. They stay as they are, each with its cause.
 *
 * @module
 */

/** One wave, of four entries. */
export interface Regression {
  readonly seed: number;
  readonly wave: number;
  readonly cause: string;
  /** Whether each run of the tests plays it; the others are played by `npm run soak -- --regressions`. */
  readonly quick: boolean;
}

const JOINED =
  "bytes that an attempt half received stood before the next one's first event";
const INSIDE = "an answer whose framing ended inside an event was told whole";
const COMMENT = "a comment before a torn event came again from the next engine";
const STALL = "engines were judged silent by a clock that ran on in a stall";
const PAUSE = "engines were judged silent by an entry that had been paused";

/** Every wave that ever failed. */
export const REGRESSIONS: readonly Regression[] = [
  { seed: 4, wave: 0, cause: JOINED, quick: true },
  { seed: 1, wave: 0, cause: `${INSIDE}; ${COMMENT}`, quick: true },
  { seed: 1, wave: 1, cause: STALL, quick: true },
  { seed: 2, wave: 2, cause: PAUSE, quick: true },
  { seed: 4, wave: 3, cause: COMMENT, quick: true },
  ...[2, 5, 6, 9, 10, 14, 15].map((seed) => ({
    seed,
    wave: 0,
    cause: COMMENT,
    quick: false,
  })),
  ...[2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16].map((seed) => ({
    seed,
    wave: 1,
    cause: STALL,
    quick: false,
  })),
  ...[1, 3, 5, 6, 7, 8, 10, 11, 12, 14, 16].map((seed) => ({
    seed,
    wave: 2,
    cause: PAUSE,
    quick: false,
  })),
  ...[3, 7, 9, 11, 15, 16].map((seed) => ({
    seed,
    wave: 3,
    cause: COMMENT,
    quick: false,
  })),
];
