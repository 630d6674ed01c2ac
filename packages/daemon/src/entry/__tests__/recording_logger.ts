/**
 * A logger that records lines for tests.
 *
 * @module
 */
import { Logger } from "../../logs/index.ts";

/** A recorded log line. */
export interface LogLine {
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Records info lines instead of writing them. */
export class RecordingLogger extends Logger {
  readonly lines: LogLine[] = [];

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
