/**
 * Values that endpoints state about themselves in the headers of their answers.
 *
 * @module
 */

/** A stated number, or the reason why it could not be parsed. */
export type StatedValue =
  | { readonly kind: "value"; readonly value: number }
  /** Ignored: the previously known value stays in force. */
  | {
    readonly kind: "invalid";
    readonly text: string;
    readonly reason: string;
  };

/** The answer that stated a value, as written to the log. */
export interface AnswerSummary {
  readonly call: string;
  readonly status: number;
}

/** Writes a log line about an endpoint. */
export type EndpointLog = (
  text: string,
  fields: Readonly<Record<string, unknown>>,
) => void;
