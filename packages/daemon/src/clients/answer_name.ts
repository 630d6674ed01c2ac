/**
 * Proves that an answer belongs to the request for which it was received.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { holdsStatusLine } from "../sockets/index.ts";

/** Ids of attempts end with their number. Endpoints that number answers in their own way use other forms. */
const ATTEMPT_ID_PATTERN = /-[0-9a-f]{4}-[0-9a-z]+(?:\.\d+)+$/;

/** Which request an answer names: its own, another one, or none. */
export type AnswerName = "own" | "other" | "none";

/** The head of an answer. */
export interface AnswerHead {
  readonly headers: IncomingHttpHeaders;
  /** The reason phrase. */
  readonly reason: string | undefined;
}

/** Signals an answer on a used connection, or with another request's id, that may belong to another request. */
export class UnprovedAnswerError extends Error {
  override readonly name = "UnprovedAnswerError";

  constructor() {
    super("The answer is not shown to belong to the request");
  }
}

/** The name of one request, and the header in which its answer repeats it. */
export class RequestName {
  readonly #header: string;
  readonly #id: string | undefined;

  constructor(options: Dispatcher.DispatchOptions, header: string) {
    this.#header = header;
    this.#id = (options.headers as Record<string, string> | null | undefined)
      ?.[header];
  }

  /** Returns which request an answer names. */
  readFrom({ headers }: AnswerHead): AnswerName {
    const value = headers[this.#header];
    if (value === undefined) {
      return "none";
    }
    if (value === this.#id) {
      return "own";
    }
    return ATTEMPT_ID_PATTERN.test(String(value)) ? "other" : "none";
  }
}

/**
 * Whether an answer that stopped inside its head was continued by the next answer. The head then has the status
 * of the first and the id of the second.
 */
export function isMergedHead({ headers, reason }: AnswerHead): boolean {
  return [reason ?? "", ...Object.values(headers).flat()].some((text) =>
    holdsStatusLine(text ?? "")
  );
}
