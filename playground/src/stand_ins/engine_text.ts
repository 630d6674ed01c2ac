/**
 * What an engine reads and writes.
 *
 * @module
 */

/** Tokens of an answer where the request names no number. */
export const DEFAULT_TOKENS = 32;
const WORDS = [
  "the",
  "host",
  "will",
  "be",
  "with",
  "you",
  "soon",
  "please",
  "take",
  "a",
  "seat",
  "by",
  "door",
];

/** Token number `offset` of the answer to a prompt: the same on every engine. */
export function tokenAt(prompt: string, offset: number): string {
  return ` ${WORDS[(prompt.length + offset * 7) % WORDS.length]}${offset}`;
}

/** Where pairs of tokens are swapped: which one comes at `offset`. */
export function swapped(
  offset: number,
  { startAt, tokens }: { startAt: number; tokens: number },
): number {
  const other = (offset - startAt) % 2 === 0 ? offset + 1 : offset - 1;
  return other < tokens ? other : offset;
}

/** The prompt of a request, one line a part, and the tokens that it asks for. */
export function readPrompt(body: string): { prompt: string; tokens: number } {
  const json = JSON.parse(body) as {
    messages: { role: string; content: string }[];
    max_tokens?: number;
  };
  const prompt = json.messages.map(({ role, content }) => `${role}\n${content}`)
    .join("\n");
  return { prompt, tokens: json.max_tokens ?? DEFAULT_TOKENS };
}
