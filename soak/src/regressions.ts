/**
 * Waves that once violated a guarantee, each with its cause. These definitions are never changed.
 *
 * @module
 */

/** A wave that is played with four entries. */
export interface Regression {
  readonly seed: number;
  readonly wave: number;
  readonly cause: string;
  /** Whether the test suite plays the wave. `npm run soak -- --regressions` plays all of them. */
  readonly quick: boolean;
}

const LEFTOVER_BYTES =
  "partial bytes of a lost attempt preceded the first event of the next attempt";
const TORN_ANSWER_ACCEPTED =
  "an answer whose framing ended inside an event was reported as complete";
const REPEATED_COMMENT =
  "a comment before a torn event was repeated by the next engine";
const STALLED_CLOCK =
  "engines were considered silent by a clock that kept running during a stall";
const PAUSED_ENTRY =
  "engines were considered silent by an entry that had been paused";

/** All waves that ever failed. */
export const REGRESSIONS: readonly Regression[] = [
  { seed: 4, wave: 0, cause: LEFTOVER_BYTES, quick: true },
  {
    seed: 1,
    wave: 0,
    cause: `${TORN_ANSWER_ACCEPTED}; ${REPEATED_COMMENT}`,
    quick: true,
  },
  { seed: 1, wave: 1, cause: STALLED_CLOCK, quick: true },
  { seed: 2, wave: 2, cause: PAUSED_ENTRY, quick: true },
  { seed: 4, wave: 3, cause: REPEATED_COMMENT, quick: true },
  ...[2, 5, 6, 9, 10, 14, 15].map((seed) => ({
    seed,
    wave: 0,
    cause: REPEATED_COMMENT,
    quick: false,
  })),
  ...[2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16].map((seed) => ({
    seed,
    wave: 1,
    cause: STALLED_CLOCK,
    quick: false,
  })),
  ...[1, 3, 5, 6, 7, 8, 10, 11, 12, 14, 16].map((seed) => ({
    seed,
    wave: 2,
    cause: PAUSED_ENTRY,
    quick: false,
  })),
  ...[3, 7, 9, 11, 15, 16].map((seed) => ({
    seed,
    wave: 3,
    cause: REPEATED_COMMENT,
    quick: false,
  })),
];
