/**
 * Reads JSON bodies.
 *
 * @module
 */

/** Reads and parses a JSON body; calls `onChunk` for each chunk that arrives. */
export async function readJson(
  body: AsyncIterable<Uint8Array> | Iterable<Uint8Array>,
  onChunk: () => void,
): Promise<unknown> {
  const chunks: Uint8Array[] = [];
  for await (const chunk of body) {
    onChunk();
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}
