/**
 * Draws requests of a load.
 *
 * @module
 */
import { type Prompt, type Randomness, sample } from "@sassafrasstep/core";
import type { DrawnRequest, LoadKind } from "./load_types.ts";

/** Callers' estimates of an answer's length spread this much around it. */
const HINT_SPREAD = 0.5;
/** A request counts by its size up to this many times its kind's worth. */
const MOST_WORTH = 4;
const FIXED_PART = 0.3;
const LEAST_ANSWER = 4;

/** Draws one request; `name` is its own. */
export function drawRequest(
  kinds: readonly LoadKind[],
  name: string,
  random: Randomness,
): DrawnRequest {
  const kind = pickKind(kinds, random);
  const own = Math.round(spread(kind.promptTokens, kind.spread, random));
  const shared = kind.shared.map(({ among, tokens }, index) => ({
    id: `${kind.name}.${index}.${Math.floor(random.next() * among)}`,
    tokens,
  }));
  const answerTokens = Math.min(
    kind.limit,
    Math.max(
      LEAST_ANSWER,
      Math.round(spread(kind.answerTokens, kind.answerSpread, random)),
    ),
  );
  const sharedTokens = shared.reduce((sum, { tokens }) => sum + tokens, 0);
  const prompt: Prompt = {
    model: "m",
    promptTokens: own + sharedTokens,
    outputTokens: kind.limit,
    outputHint: Math.round(spread(answerTokens, HINT_SPREAD, random)),
    parts: [...shared, { id: name, tokens: own }],
  };
  const size = prompt.promptTokens / (kind.promptTokens + sharedTokens);
  const worth = kind.worth *
    Math.min(MOST_WORTH, FIXED_PART + (1 - FIXED_PART) * size);
  return { kind, prompt, answerTokens, worth };
}

function pickKind(
  kinds: readonly LoadKind[],
  random: Randomness,
): LoadKind {
  let left = random.next() *
    kinds.reduce((sum, { weight }) => sum + weight, 0);
  for (const kind of kinds) {
    left -= kind.weight;
    if (left < 0) {
      return kind;
    }
  }
  return sample(kinds, 1, random)[0]!;
}

/** A lognormal draw with the given mean. */
function spread(mean: number, sigma: number, random: Randomness): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) *
    Math.cos(2 * Math.PI * random.next());
  return mean * Math.exp(sigma * normal - sigma * sigma / 2);
}
