/**
 * One measure for the work of requests with and without prompts.
 *
 * @module
 */
import type { DemandTotals } from "../demand/index.ts";

/** Work of a request apart from its prompt, in prompt tokens. */
const REQUEST_UNITS = 300;

/** Work in units of one prompt token. Requests without a prompt count alike. */
export function unitsOf({ requests, tokens }: DemandTotals): number {
  return tokens + requests * REQUEST_UNITS;
}
