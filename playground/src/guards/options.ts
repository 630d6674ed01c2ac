/**
 * Options of the guard suite.
 *
 * @module
 */
import meow from "meow";

const MS_PER_MINUTE = 60_000;
const DEFAULT_MINUTES = 60;

/** Options from the command line. */
export interface GuardOptions {
  /** Selects guards whose point or name contains one of these words. Empty for all guards. */
  readonly only: readonly string[];
  readonly write: boolean;
  /** No further guard is started after this time. */
  readonly timeLimitMs: number;
}

/** Parses the command line. A positional argument has the same meaning as a value of `--only`. */
export function readOptions(args: readonly string[]): GuardOptions {
  const { flags, input } = meow("Usage: guards [--only WORD] [--write]", {
    importMeta: import.meta,
    argv: args,
    flags: {
      only: { type: "string", isMultiple: true },
      write: { type: "boolean", default: false },
      minutes: { type: "number", default: DEFAULT_MINUTES },
    },
  });
  return {
    only: [...flags.only ?? [], ...input],
    write: flags.write,
    timeLimitMs: flags.minutes * MS_PER_MINUTE,
  };
}
