/**
 * Holds back what a socket gives out.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Holds back what has arrived at a socket that somebody else made, its end included. */
export class ReadHold {
  readonly #socket: Socket;
  #held = false;

  constructor(socket: Socket) {
    this.#socket = socket;
    const read = socket.read.bind(socket);
    socket.read = (size) => this.#held ? null : read(size);
  }

  /** Gives nothing out from now on; the kernel's buffer fills, and then the other side waits. */
  hold(): void {
    this.#held = true;
  }

  /** Goes on with what has arrived meanwhile. */
  release(): void {
    if (this.#held) {
      this.#held = false;
      // Not at once: whoever reads may be in the middle of what it read before.
      process.nextTick(() => this.#tellReadable());
    }
  }

  #tellReadable(): void {
    if (!this.#socket.destroyed) {
      this.#socket.emit("readable");
    }
  }
}
