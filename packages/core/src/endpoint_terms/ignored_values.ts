/**
 * Counts and logs invalid values that endpoints state.
 *
 * @module
 */
import type { EndpointId } from "../ids/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type {
  AnswerSummary,
  EndpointLog,
  StatedValue,
} from "./stated_value.ts";

/** Maximum number of endpoints whose last invalid value is remembered. */
const MAX_ENDPOINTS = 1_024;

/** Counts invalid values, and logs each one unless the endpoint's previous one was the same. */
export class IgnoredValues {
  /** Invalid values since the process started. */
  count = 0;
  readonly #log: EndpointLog;
  readonly #message: string;
  readonly #lastTexts = new Map<EndpointId, string>();

  /** `message`: log message that says what is ignored. */
  constructor(message: string, log: EndpointLog) {
    this.#message = message;
    this.#log = log;
  }

  note(
    { id: endpoint }: EndpointRecord,
    { stated: { text, reason }, answer, inForce }: {
      stated: Extract<StatedValue, { kind: "invalid" }>;
      answer: AnswerSummary;
      /** The value that stays in force. */
      inForce?: number | undefined;
    },
  ): void {
    this.count++;
    if (this.#lastTexts.get(endpoint) === text) {
      return;
    }
    if (this.#lastTexts.size >= MAX_ENDPOINTS) {
      this.#lastTexts.clear();
    }
    this.#lastTexts.set(endpoint, text);
    this.#log(this.#message, { endpoint, text, reason, inForce, ...answer });
  }
}
