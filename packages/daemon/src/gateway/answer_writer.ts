/**
 * Writes the part of an answer that one attempt delivers, with backpressure towards its source.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/** Source of the bytes that an attempt writes. */
export interface AnswerSource {
  /** Stops delivering bytes because the caller's write buffer is full. */
  pause(): void;
  /** Continues delivering bytes. */
  resume(): void;
}

/**
 * Writes to the caller on behalf of one attempt. Once closed, it ignores whatever the attempt still writes.
 */
export class AnswerWriter {
  readonly #reply: ServerResponse;
  readonly #source: AnswerSource;
  #sourcePaused = false;
  #closed = false;

  constructor(reply: ServerResponse, source: AnswerSource) {
    this.#reply = reply;
    this.#source = source;
    // The write buffer may still be full of what the previous attempt wrote.
    if (reply.writableNeedDrain) {
      this.#pauseSource();
    }
  }

  /** Writes bytes to the caller and pauses the source once the caller's write buffer is full. */
  write(chunk: Buffer): void {
    const open = !this.#closed && !this.#reply.destroyed;
    if (open && !this.#reply.write(chunk)) {
      this.#pauseSource();
    }
  }

  /** Resumes the source after the caller's write buffer was emptied. */
  onDrain(): void {
    if (this.#sourcePaused && !this.#closed) {
      this.#sourcePaused = false;
      this.#source.resume();
    }
  }

  /** Discards all further writes of the attempt. */
  close(): void {
    this.#closed = true;
  }

  #pauseSource(): void {
    if (!this.#sourcePaused) {
      this.#sourcePaused = true;
      this.#source.pause();
    }
  }
}
