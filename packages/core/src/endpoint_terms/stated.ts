/**
 * What endpoints state about themselves in the heads of their answers.
 *
 * @module
 */

/** A stated figure. */
export type Stated =
  | { readonly kind: "value"; readonly value: number }
  /** It makes no sense and is ignored: what was known before stays in force. */
  | {
    readonly kind: "invalid";
    readonly text: string;
    readonly reason: string;
  };

/** The answer that states something, for the log. */
export interface StatingAnswer {
  readonly call: string;
  readonly status: number;
}

/** Writes a line about an endpoint. */
export type TermsLog = (
  text: string,
  fields: Readonly<Record<string, unknown>>,
) => void;
