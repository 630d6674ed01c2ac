/**
 * The right of one attempt to write a part of the answer.
 *
 * @module
 */
import type { ServerResponse } from "node:http";

/** Where the bytes of an attempt come from. */
export interface AnswerSource {
  /** The caller has no room: give nothing more. */
  hold(): void;
  /** It has room again. */
  release(): void;
}

/** Writes for one attempt. Once it is closed, whatever its attempt still says changes nothing. */
export class AnswerWriter {
  readonly #reply: ServerResponse;
  readonly #source: AnswerSource;
  #held = false;
  #closed = false;

  constructor(reply: ServerResponse, source: AnswerSource) {
    this.#reply = reply;
    this.#source = source;
    // What the attempt before it left in the buffer is still on its way.
    if (reply.writableNeedDrain) {
      this.#hold();
    }
  }

  /** Passes bytes on, and holds the source back once the caller has no room for more. */
  write(chunk: Buffer): void {
    const open = !this.#closed && !this.#reply.destroyed;
    if (open && !this.#reply.write(chunk)) {
      this.#hold();
    }
  }

  /** The caller has room. */
  drained(): void {
    if (this.#held && !this.#closed) {
      this.#held = false;
      this.#source.release();
    }
  }

  /** The attempt writes nothing more. */
  close(): void {
    this.#closed = true;
  }

  #hold(): void {
    if (!this.#held) {
      this.#held = true;
      this.#source.hold();
    }
  }
}
