/**
 * Limits the bytes that a server sends beside the bodies of its answers.
 *
 * @module
 */

/** Bytes beside the body that are accepted of any answer: room for its head, its trailers and one read of a socket. */
const MAX_FRAMING_BYTES = 131_072;
/** Further bytes beside the body for each byte of it: a chunk of a single byte takes five. */
const FRAMING_PER_BODY_BYTE = 16;

/**
 * Compares what was read with what arrived as body. The HTTP parser limits headers and trailers, but reads empty lines,
 * reason phrases, interim responses and chunk extensions for as long as a server sends them.
 */
export class FramingMeter {
  #readBytes = 0;
  #bodyBytes = 0;

  /** Starts over, for the next answer. */
  reset(): void {
    this.#readBytes = 0;
    this.#bodyBytes = 0;
  }

  /** Counts bytes that the parser is given. */
  addRead(bytes: number): void {
    this.#readBytes += bytes;
  }

  /** Counts bytes that the parser returned as a part of a body. */
  addBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  /** Whether the server has sent more than any answer needs. Holds only once all bytes read have been parsed. */
  get isExceeded(): boolean {
    const framing = this.#readBytes - this.#bodyBytes;
    return framing >
      MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * this.#bodyBytes;
  }
}
