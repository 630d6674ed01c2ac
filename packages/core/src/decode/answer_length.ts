/**
 * How long an answer becomes, as far as that is known before it is complete.
 *
 * @module
 */

/** What a caller states about the length of its answer. */
export interface AnswerBounds {
  /** The maximum answer length that the caller accepts, in tokens. */
  readonly outputTokens: number;
  /** The answer length that the caller expects. Correct in the median, but often far off for one request. */
  readonly outputHint: number | undefined;
}

/**
 * Typical answer length as a fraction of the caller's limit, for callers that state no expected length.
 * The limit is one figure for a whole kind of request, and answers have about a third of it in the median.
 */
const TYPICAL_OUTPUT_FRACTION = 0.35;
/** An answer that has become longer than expected goes on for a while. */
const GROWTH_MARGIN = 1.2;

/** The number of tokens that an answer will probably have. */
export function expectedOutputTokens(
  { outputTokens, outputHint }: AnswerBounds,
): number {
  return Math.min(
    outputTokens,
    outputHint ?? outputTokens * TYPICAL_OUTPUT_FRACTION,
  );
}

/** The number of tokens for which time is planned, when `generated` have arrived. */
export function plannedOutputTokens(
  bounds: AnswerBounds,
  generated: number,
): number {
  return Math.min(
    bounds.outputTokens,
    Math.max(expectedOutputTokens(bounds), generated * GROWTH_MARGIN),
  );
}
