/**
 * Log lines that a test keeps.
 *
 * @module
 */
import { Logger } from "../../logs/index.ts";

/** A log line of the entry. */
export interface Line {
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Keeps the lines that an entry logs. */
export class KeptLines extends Logger {
  readonly lines: Line[] = [];

  constructor() {
    super("silent", {});
  }

  override info(
    part: Parameters<Logger["info"]>[0],
    text: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.lines.push({ text: `${part}: ${text}`, fields });
  }
}
