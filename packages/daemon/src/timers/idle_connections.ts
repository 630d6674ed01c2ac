/**
 * Kept connections of a server, closed when they are idle.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";

/**
 * Has a server look at a connection before it closes it for its idle time. After a pause of the process
 * the time is over and the caller's next request lies unread in it: closed then, the caller gets a reset
 * and cannot know that nothing ran.
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
