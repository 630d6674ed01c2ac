/**
 * Pauses reads from a socket.
 *
 * @module
 */
import type { Socket } from "node:net";

/** Pauses reads from a socket that is owned by other code. While paused, its end is not delivered either. */
export class PausableReads {
  readonly #socket: Socket;
  #paused = false;

  constructor(socket: Socket) {
    this.#socket = socket;
    const read = socket.read.bind(socket);
    socket.read = (size) => this.#paused ? null : read(size);
  }

  /** Pauses reads. The kernel's buffer fills up, and then the sender has to wait. */
  pause(): void {
    this.#paused = true;
  }

  /** Resumes reads, first of the data that has arrived in the meantime. */
  resume(): void {
    if (this.#paused) {
      this.#paused = false;
      // Deferred, because the reader may still be processing its previous read.
      process.nextTick(() => this.#emitReadable());
    }
  }

  #emitReadable(): void {
    if (!this.#socket.destroyed) {
      this.#socket.emit("readable");
    }
  }
}
