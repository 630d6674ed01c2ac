/**
 * A guard is the code that a guarantee depends on. Removing it must make a test fail; otherwise no test verifies
 * the guarantee.
 *
 * @module
 */

/** Replacement of one piece of code. */
export interface Edit {
  readonly file: string;
  /** Text to replace. Must occur exactly once in the file. */
  readonly find: string;
  readonly replace: string;
}

/** One guard and the edits that remove it. */
export interface Guard extends Edit {
  /** Requirement that the guard implements. */
  readonly point: string;
  readonly name: string;
  /** Edits of other code that ensures the same, applied together with this one. */
  readonly also?: readonly Edit[];
}
