/**
 * The socket of a connection to an endpoint or a peer, with reading that can be held back.
 *
 * @module
 */
import { Socket } from "node:net";

/**
 * Holds back what has arrived, its end included.
 *
 * The HTTP client can pause an answer itself, but not one that ends with its connection: when that
 * connection ends or is reset meanwhile, it finishes a parser that must not be paused, by an assertion.
 * One notices by a process that ends with all its streams. Held back here, the client sees a connection
 * on which nothing comes.
 */
export class EndpointSocket extends Socket {
  #held = false;

  /** Whether reading is held back. */
  get held(): boolean {
    return this.#held;
  }

  /** Gives nothing out from now on; the kernel's buffer fills, and then the other side waits. */
  hold(): void {
    this.#held = true;
  }

  /** Goes on with what has arrived meanwhile. */
  release(): void {
    if (this.#held) {
      this.#held = false;
      // Not at once: the client may be in the middle of what it read before.
      process.nextTick(() => this.#tellReadable());
    }
  }

  #tellReadable(): void {
    if (!this.destroyed) {
      this.emit("readable");
    }
  }

  override read(size?: number): unknown {
    return this.#held ? null : super.read(size);
  }
}
