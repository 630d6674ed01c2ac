/**
 * Draws the requests of a load from seeded randomness.
 *
 * @module
 */
import { type Prompt, type Randomness, sample } from "@sassafrasstep/core";
import type { DrawnRequest, LoadKind } from "./load_types.ts";

/** Sigma of the lognormal distribution of callers' estimates around an answer's length. */
const HINT_SIGMA = 0.5;
/** Limit of the factor by which a request's size raises its value over its kind's. */
const MAX_VALUE_FACTOR = 4;
/** Share of a request's value that does not depend on its size. */
const FIXED_VALUE_SHARE = 0.3;
const MIN_ANSWER_TOKENS = 4;
/** Prompt tokens that cost an engine as much as one token of an answer. */
const ANSWER_TOKEN_SIZE = 10;

/** Draws one request. Its name identifies the unshared part of its prompt. */
export function drawRequest(
  kinds: readonly LoadKind[],
  name: string,
  random: Randomness,
): DrawnRequest {
  const kind = pickKind(kinds, random);
  const ownTokens = Math.round(
    drawLognormal(kind.promptTokens, kind.promptSpread, random),
  );
  const shared = kind.shared.map(({ variants, tokens }, index) => ({
    id: `${kind.name}.${index}.${Math.floor(random.next() * variants)}`,
    tokens,
  }));
  const answerTokens = Math.min(
    kind.maxAnswerTokens,
    Math.max(
      MIN_ANSWER_TOKENS,
      Math.round(drawLognormal(kind.answerTokens, kind.answerSpread, random)),
    ),
  );
  const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
  const prompt: Prompt = {
    model: "m",
    promptTokens: ownTokens + sharedTokens,
    outputTokens: kind.maxAnswerTokens,
    outputHint: Math.round(drawLognormal(answerTokens, HINT_SIGMA, random)),
    parts: [...shared, { id: name, tokens: ownTokens }],
  };
  const size = prompt.promptTokens / (kind.promptTokens + sharedTokens);
  const value = kind.value *
    Math.min(
      MAX_VALUE_FACTOR,
      FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * size,
    );
  const requestSize = prompt.promptTokens + ANSWER_TOKEN_SIZE * answerTokens;
  return { kind, prompt, answerTokens, size: requestSize, value };
}

function pickKind(
  kinds: readonly LoadKind[],
  random: Randomness,
): LoadKind {
  let remaining = random.next() *
    kinds.reduce((sum, { weight }) => sum + weight, 0);
  for (const kind of kinds) {
    remaining -= kind.weight;
    if (remaining < 0) {
      return kind;
    }
  }
  return sample(kinds, 1, random)[0]!;
}

/** Draws from a lognormal distribution with the given mean. */
function drawLognormal(
  mean: number,
  sigma: number,
  random: Randomness,
): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) *
    Math.cos(2 * Math.PI * random.next());
  return mean * Math.exp(sigma * normal - sigma * sigma / 2);
}
