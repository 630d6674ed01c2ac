/**
 * Reads JSON bodies.
 *
 * @module
 */

import { ChunkList } from "./chunk_list.ts";

/** Several times the largest catalogue. A body is held in memory until it is complete. */
const MAX_BODY_BYTES = 33_554_432;

/** A body is larger than any that is expected. */
export class BodyTooLargeError extends Error {
  override readonly name = "BodyTooLargeError";
}

/**
 * Reads and parses a JSON body; calls `onChunk` for each chunk that arrives.
 *
 * @throws {BodyTooLargeError} if the body has more than 32 MiB. The rest of it is not read.
 */
export async function readJson(
  body: AsyncIterable<Uint8Array> | Iterable<Uint8Array>,
  onChunk: () => void,
): Promise<unknown> {
  const chunks = new ChunkList();
  for await (const chunk of body) {
    onChunk();
    chunks.add(chunk);
    if (chunks.length > MAX_BODY_BYTES) {
      throw new BodyTooLargeError("Cannot read body: it exceeds 32 MiB");
    }
  }
  return JSON.parse(chunks.take().toString("utf8"));
}
