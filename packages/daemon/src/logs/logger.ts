/**
 * Writes log lines: one JSON object per line, whose message is a short sentence with a fixed prefix for its
 * component. Log lines must not contain customer data.
 *
 * @module
 */
import type { GatewayLogComponent, LogPart } from "@sassafrasstep/core";
import { type Logger as Pino, pino } from "pino";

/** Components that log: those of the core and of the gateway, and the daemon's own. */
export type LogComponent =
  | LogPart
  | GatewayLogComponent
  | "http"
  | "peer"
  | "platform";

/** Writes log lines with pino. */
export class Logger {
  readonly #pino: Pino;

  constructor(level: string, fields: Readonly<Record<string, unknown>>) {
    this.#pino = pino({ level, base: fields });
  }

  info(
    component: LogComponent,
    message: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.#pino.info(fields, `${component}: ${message}`);
  }

  warn(
    component: LogComponent,
    message: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.#pino.warn(fields, `${component}: ${message}`);
  }

  debug(
    component: LogComponent,
    message: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.#pino.debug(fields, `${component}: ${message}`);
  }
}
