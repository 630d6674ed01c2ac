/**
 * Handles the requests of a connection one after the other.
 *
 * @module
 */
import type { RequestListener, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Holds pipelined requests back until the one before is answered. Answers are sent in the order of the requests, so that
 * a request that is handled at once runs in vain if the answer before it closes the connection.
 */
export class RequestSequence {
  /** The answer to the newest request of each connection. */
  readonly #newest = new WeakMap<Socket, ServerResponse>();

  /** Wraps a listener that handles requests. */
  wrap(listener: RequestListener): RequestListener {
    return (message, reply): void => {
      const { socket } = message;
      const before = this.#newest.get(socket);
      this.#newest.set(socket, reply);
      if (before === undefined || before.closed) {
        listener(message, reply);
        return;
      }
      before.once("close", () => {
        if (socket.writable) {
          listener(message, reply);
        }
      });
    };
  }

  /** Whether a further request has arrived on the connection of an answer that is not sent yet. */
  hasNext({ req, socket }: ServerResponse): boolean {
    return this.#newest.get(socket ?? req.socket)?.req !== req;
  }
}
