/**
 * Reads bodies that are not needed.
 *
 * @module
 */

/** Reads a body to its end and discards it. Unlike the library's `dump`, it fails if the body is not whole. */
export async function drainBody(
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  for await (const _chunk of body) {
    // Only whether the end arrives is of interest.
  }
}
