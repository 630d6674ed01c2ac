/**
 * Bodies that come in pieces.
 *
 * @module
 */

/** The value of a JSON body; `heard` is called at each piece. */
export async function readJson(
  body: AsyncIterable<Uint8Array> | Iterable<Uint8Array>,
  heard: () => void,
): Promise<unknown> {
  const pieces: Uint8Array[] = [];
  for await (const piece of body) {
    heard();
    pieces.push(piece);
  }
  return JSON.parse(Buffer.concat(pieces).toString("utf8"));
}
