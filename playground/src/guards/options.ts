/**
 * Options of the guard suite.
 *
 * @module
 */
import meow from "meow";

const MS_PER_MINUTE = 60_000;
const DEFAULT_MINUTES = 60;

/** What is asked for. */
export interface GuardOptions {
  /** Words of which a guard's point or name has one; none for all guards. */
  readonly only: readonly string[];
  readonly write: boolean;
  /** Milliseconds after which no further guard is taken out. */
  readonly time: number;
}

/** Reads the command line; a bare word means the same as one after `--only`. */
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
    time: flags.minutes * MS_PER_MINUTE,
  };
}
