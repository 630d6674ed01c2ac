/**
 * Prompts that the engine stand-in reads and tokens that it generates.
 *
 * @module
 */

/** Number of answer tokens if the request states no `max_tokens`. */
export const DEFAULT_TOKENS = 32;
const VOCABULARY = [
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

/** Returns the token at `offset` of the answer to a prompt. All engines generate the same tokens. */
export function tokenAt(prompt: string, offset: number): string {
  return ` ${
    VOCABULARY[(prompt.length + offset * 7) % VOCABULARY.length]
  }${offset}`;
}

/** Returns the offset of the token that is sent at `offset` when pairs of tokens are swapped. */
export function swappedOffset(
  offset: number,
  { startAt, tokens }: { startAt: number; tokens: number },
): number {
  const other = (offset - startAt) % 2 === 0 ? offset + 1 : offset - 1;
  return other < tokens ? other : offset;
}

/** Reads the prompt, with each role and content on its own line, and the number of tokens requested. */
export function readPrompt(body: string): { prompt: string; tokens: number } {
  const json = JSON.parse(body) as {
    messages: { role: string; content: string }[];
    max_tokens?: number;
  };
  const prompt = json.messages.map(({ role, content }) => `${role}\n${content}`)
    .join("\n");
  return { prompt, tokens: json.max_tokens ?? DEFAULT_TOKENS };
}
