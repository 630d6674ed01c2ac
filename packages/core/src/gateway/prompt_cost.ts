/**
 * Estimates what a request costs an engine, from the lengths that its caller states.
 *
 * @module
 */
import { expectedOutputTokens } from "../decode/index.ts";
import type { Prompt } from "./messages.ts";

/** Prompt tokens that an engine prefills per millisecond, assumed until the rate is measured. */
export const DEFAULT_PREFILL_TOKENS_PER_MS = 35;
/**
 * Time that one more answer token adds to its engine's steps, in milliseconds: one more slot and its
 * context in each step. Taken from the engines' data sheets.
 */
const OUTPUT_TOKEN_MS = 0.15;
/**
 * Engine time that a request takes, in milliseconds, if `prefillFraction` of its prompt has to be
 * prefilled.
 *
 * Estimated with the longest allowed answer instead of the expected one, work was three times too high:
 * every region looked too busy to take another region's requests while its engines were idle.
 */
export function engineWorkMs(prompt: Prompt, prefillFraction: number): number {
  return prefillTimeMs(prompt, prefillFraction) +
    expectedOutputTokens(prompt) * OUTPUT_TOKEN_MS;
}

/** Time to prefill `prefillFraction` of a prompt, in milliseconds. */
export function prefillTimeMs(
  { promptTokens }: Pick<Prompt, "promptTokens">,
  prefillFraction: number,
): number {
  return promptTokens * prefillFraction / DEFAULT_PREFILL_TOKENS_PER_MS;
}
