/**
 * Closes idle kept-alive connections of a server.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";

/**
 * Makes a server read from a connection before closing it as idle. After a pause of the process, the idle
 * timeout of a connection may be over while the caller's next request waits unread in it. If the connection
 * were closed then, the caller would get a reset and could not know that nothing ran.
 */
export function closeIdleAfterPoll(server: Server): void {
  server.on("timeout", (socket: Socket) => {
    const { bytesRead } = socket;
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) {
        socket.destroy();
      }
    });
  });
}
