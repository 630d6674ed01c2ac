/**
 * Reads JSON bodies.
 *
 * @module
 */

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
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    onChunk();
    size += chunk.length;
    if (size > MAX_BODY_BYTES) {
      throw new BodyTooLargeError("Cannot read body: it exceeds 32 MiB");
    }
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}
