/**
 * Collects bytes that arrive in chunks.
 *
 * @module
 */

/** Chunks below this size are copied together. */
const SMALL_BYTES = 1_024;
const MIN_TAIL_BYTES = 256;
const MAX_TAIL_BYTES = 16_384;
/** A chunk that is a smaller part of the memory behind it is copied, so that the rest is freed. */
const MAX_UNUSED_FACTOR = 2;

/**
 * Holds bytes in about as much memory as they have. A sender chooses the size of its chunks, and an array of them takes
 * a hundred times their size if they are of a single byte, or of what was received beside them.
 */
export class ChunkList {
  #blocks: Uint8Array[] = [];
  /** Small chunks after the last block. */
  #tail = Buffer.alloc(0);
  #tailBytes = 0;
  #length = 0;

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  add(chunk: Uint8Array): void {
    this.#length += chunk.length;
    if (chunk.length < SMALL_BYTES) {
      this.#addSmall(chunk);
    } else {
      this.#sealTail();
      this.#blocks.push(compact(chunk));
    }
  }

  /** Removes and returns all bytes. */
  take(): Buffer {
    const bytes = this.copy();
    this.clear();
    return bytes;
  }

  /** Returns all bytes and keeps them. */
  copy(): Buffer {
    this.#sealTail();
    return Buffer.concat(this.#blocks);
  }

  clear(): void {
    this.#blocks = [];
    this.#tail = Buffer.alloc(0);
    this.#tailBytes = 0;
    this.#length = 0;
  }

  #addSmall(chunk: Uint8Array): void {
    if (this.#tailBytes + chunk.length > MAX_TAIL_BYTES) {
      this.#sealTail();
    }
    const size = this.#tailBytes + chunk.length;
    if (size > this.#tail.length) {
      this.#growTail(size);
    }
    this.#tail.set(chunk, this.#tailBytes);
    this.#tailBytes = size;
  }

  #growTail(size: number): void {
    const doubled = Math.max(MIN_TAIL_BYTES, 2 * this.#tail.length, size);
    const grown = Buffer.allocUnsafeSlow(Math.min(doubled, MAX_TAIL_BYTES));
    grown.set(this.#tail.subarray(0, this.#tailBytes));
    this.#tail = grown;
  }

  #sealTail(): void {
    if (this.#tailBytes > 0) {
      this.#blocks.push(
        Uint8Array.prototype.slice.call(this.#tail, 0, this.#tailBytes),
      );
      this.#tailBytes = 0;
    }
  }
}

function compact(chunk: Uint8Array): Uint8Array {
  return chunk.buffer.byteLength > MAX_UNUSED_FACTOR * chunk.length
    ? Uint8Array.prototype.slice.call(chunk)
    : chunk;
}
