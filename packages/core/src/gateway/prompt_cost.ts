/**
 * What a request costs an engine, estimated from what its caller says of it.
 *
 * @module
 */
import type { Prompt } from "./messages.ts";

/** Prompt tokens that an engine reads in a millisecond, until it was measured. */
export const DEFAULT_PREFILL_RATE = 35;
/**
 * Time that one more token of an answer adds to its engine's steps, in milliseconds: one more slot and
 * its context in each step. From the engines' sheets.
 */
const OUTPUT_TOKEN_MS = 0.15;
/**
 * Part of the longest answer that a caller allows for, where it does not say what it expects. The limit
 * is one figure for a kind of request, and answers are a third of it in the middle.
 */
const TYPICAL_OUTPUT_PART = 0.35;

/** Tokens that the answer will probably have. */
export function expectedOutput(
  { outputTokens, outputHint }: Pick<Prompt, "outputTokens" | "outputHint">,
): number {
  return Math.min(
    outputTokens,
    outputHint ?? outputTokens * TYPICAL_OUTPUT_PART,
  );
}

/**
 * Time of one engine that a request takes, in milliseconds, where `readPart` of a prompt has to be read.
 *
 * Counted with the longest answer allowed in place of the expected one, work came out three times too
 * high: every region looked too busy to take another's requests while its engines were idle.
 */
export function engineWork(prompt: Prompt, readPart: number): number {
  return readingTime(prompt, readPart) +
    expectedOutput(prompt) * OUTPUT_TOKEN_MS;
}

/** Time that an engine reads for a prompt, in milliseconds, where `readPart` of it has to be read. */
export function readingTime(
  { promptTokens }: Pick<Prompt, "promptTokens">,
  readPart: number,
): number {
  return promptTokens * readPart / DEFAULT_PREFILL_RATE;
}
