/**
 * Joins chunks that are received in one turn of the event loop.
 *
 * @module
 */
import { ChunkList } from "./chunk_list.ts";

/**
 * Passes the first chunk of a turn on at once, and the others together after it. The HTTP parser returns each chunk of a
 * chunked body by itself, thousands for one read of a socket, and each costs as much as a whole read from there on.
 */
export class ChunkJoiner {
  readonly #chunks = new ChunkList();
  readonly #onBytes: (bytes: Buffer) => void;
  #isScheduled = false;

  constructor(onBytes: (bytes: Buffer) => void) {
    this.#onBytes = onBytes;
  }

  push(chunk: Buffer): void {
    if (this.#isScheduled) {
      this.#chunks.add(chunk);
      return;
    }
    this.#isScheduled = true;
    queueMicrotask(() => {
      this.#isScheduled = false;
      this.flush();
    });
    this.#onBytes(chunk);
  }

  /** Passes on what was joined. Needed before anything that comes after the chunks. */
  flush(): void {
    if (this.#chunks.length > 0) {
      this.#onBytes(this.#chunks.take());
    }
  }
}
