/**
 * Closes an HTTP server without cutting off answers that are still being sent.
 *
 * @module
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";

/**
 * Tracks which connections of a server have an answer that is not sent completely. Node's own `close` takes a
 * connection for idle once its answer has been ended, and destroys it although a slow reader has not taken all of it.
 */
export class ServerDrain {
  readonly #server: Server;
  /** Answers under way by connection. */
  readonly #answers = new Map<Socket, number>();
  #closing = false;
  #resolveClosed!: () => void;
  /** Resolves once the server was closed and each connection has sent its last answer, slowly sent requests included. */
  readonly closed: Promise<void> = new Promise((resolve) => {
    this.#resolveClosed = resolve;
  });

  constructor(server: Server) {
    this.#server = server;
    server.on("connection", (socket: Socket) => {
      this.#answers.set(socket, 0);
      socket.once("close", () => this.#answers.delete(socket));
    });
    server.prependListener(
      "request",
      (message, reply) => this.#track(message, reply),
    );
  }

  /** Accepts no more connections, and closes each open one as soon as it has no answer to send. */
  close(): void {
    if (!this.#closing) {
      this.#closing = true;
      NetServer.prototype.close.call(this.#server, () => this.#resolveClosed());
      this.#answers.forEach((count, socket) => {
        if (count === 0) {
          socket.destroy();
        }
      });
    }
  }

  #track({ socket }: IncomingMessage, reply: ServerResponse): void {
    this.#answers.set(socket, (this.#answers.get(socket) ?? 0) + 1);
    reply.once("close", () => {
      const left = (this.#answers.get(socket) ?? 1) - 1;
      if (!socket.destroyed) {
        this.#answers.set(socket, left);
      }
      if (this.#closing && left === 0) {
        socket.destroySoon();
      }
    });
  }
}
