/**
 * Results and exit codes of commands.
 *
 * @module
 */

/** Exit codes of the command line. */
export const EXIT_CODES = {
  /** The command succeeded and found no problem. */
  ok: 0,
  /** The text is invalid, the fleet is not healthy, or an entry could not be reached. */
  failure: 1,
  /** The command line is invalid. */
  usage: 2,
} as const;

/** Output of a command as text and as JSON, and its exit code. */
export interface CommandResult {
  readonly text: string;
  readonly json: unknown;
  readonly exitCode: number;
}
