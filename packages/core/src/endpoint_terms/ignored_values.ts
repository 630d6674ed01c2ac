/**
 * Values that endpoints state and that make no sense.
 *
 * @module
 */
import type { EndpointId } from "../ids/index.ts";
import type { EndpointRecord } from "../routes/index.ts";
import type { Stated, StatingAnswer, TermsLog } from "./stated.ts";

/** Endpoints whose last such value is remembered. */
const MOST_ENDPOINTS = 1_024;

/** Counts them, and writes a line for each that is new. */
export class IgnoredValues {
  /** Since the start. */
  count = 0;
  readonly #log: TermsLog;
  readonly #line: string;
  readonly #texts = new Map<EndpointId, string>();

  /** `line` says what is ignored. */
  constructor(line: string, log: TermsLog) {
    this.#line = line;
    this.#log = log;
  }

  note(
    { id: endpoint }: EndpointRecord,
    { stated: { text, reason }, answer, inForce }: {
      stated: Extract<Stated, { kind: "invalid" }>;
      answer: StatingAnswer;
      /** What stays in force. */
      inForce?: number | undefined;
    },
  ): void {
    this.count++;
    if (this.#texts.get(endpoint) === text) {
      return;
    }
    if (this.#texts.size >= MOST_ENDPOINTS) {
      this.#texts.clear();
    }
    this.#texts.set(endpoint, text);
    this.#log(this.#line, { endpoint, text, reason, inForce, ...answer });
  }
}
