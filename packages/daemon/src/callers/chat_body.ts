/**
 * Parses the bodies of chat completion requests.
 *
 * @module
 */
import {
  type BodyFacts,
  hash32,
  sha256,
  toExcerpt,
  TOKENS_PER_BLOCK,
} from "@sassafrasstep/core";
import { z } from "zod";

/** A common estimate; routing depends only on relative sizes. */
const CHARACTERS_PER_TOKEN = 4;
/** Number of leading blocks that routing considers. */
const MAX_BLOCKS = 64;

const textPart = z.object({ type: z.literal("text"), text: z.string() });
const chatSchema = z.object({
  model: z.string().optional(),
  stream: z.boolean().default(false),
  messages: z.array(z.object({
    role: z.string(),
    content: z.union([z.string(), z.array(textPart)]),
  })).min(1),
});

/** A validated request body. */
export interface ChatBody {
  readonly stream: boolean;
  readonly model: string;
  readonly facts: BodyFacts;
}

/** Parses a body, or returns a description of its first fault. */
export function parseChatBody(
  bytes: Uint8Array,
): ChatBody | { readonly fault: string } {
  let json: unknown;
  try {
    json = JSON.parse(Buffer.from(bytes).toString("utf8"));
  } catch (error) {
    return {
      fault: `The body is not JSON: ${toExcerpt((error as Error).message)}`,
    };
  }
  const result = chatSchema.safeParse(json);
  if (!result.success) {
    const { path, message } = result.error.issues[0]!;
    return {
      fault: `Field "${toExcerpt(path.join("."))}" of the body: ${
        toExcerpt(message)
      }`,
    };
  }
  const { stream, model = "", messages } = result.data;
  const prompt = messages.map(({ role, content }) =>
    `${role}\n${contentText(content)}`
  ).join("\n");
  return {
    stream,
    model,
    facts: {
      digest: sha256(bytes),
      promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
      blocks: prefixBlocks(prompt),
    },
  };
}

/** Hashes the prompt's complete leading blocks in a chain, so that equal prefixes give equal hashes. */
export function prefixBlocks(prompt: string): number[] {
  const length = TOKENS_PER_BLOCK * CHARACTERS_PER_TOKEN;
  const blocks: number[] = [];
  let chain = 0;
  for (
    let start = 0;
    start + length <= prompt.length && blocks.length < MAX_BLOCKS;
    start += length
  ) {
    chain = hash32(`${chain}|${prompt.slice(start, start + length)}`);
    blocks.push(chain);
  }
  return blocks;
}

function contentText(
  content: z.infer<typeof chatSchema>["messages"][number]["content"],
): string {
  return typeof content === "string"
    ? content
    : content.map(({ text }) => text).join("\n");
}
