/**
 * Logs: one JSON object a line, a fixed prefix for each part, short sentences, no customer data.
 *
 * @module
 */
import type { GatewayLogComponent, LogPart } from "@sassafrasstep/core";
import { type Logger as Pino, pino } from "pino";

/** Parts that log: those of the core, and the shell's own. */
export type Part = LogPart | GatewayLogComponent | "http" | "peer" | "platform";

/** Writes log lines. */
export class Logger {
  readonly #pino: Pino;

  constructor(level: string, fields: Readonly<Record<string, unknown>>) {
    this.#pino = pino({ level, base: fields });
  }

  info(
    part: Part,
    text: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.#pino.info(fields, `${part}: ${text}`);
  }

  warn(
    part: Part,
    text: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.#pino.warn(fields, `${part}: ${text}`);
  }

  debug(
    part: Part,
    text: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.#pino.debug(fields, `${part}: ${text}`);
  }
}
