/**
 * Ends an answer that can't be completed.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** A caller that reads nothing keeps its connection for so long at most. */
const MOST_FLUSH_MS = 5_000;
/** What the kernel still has to send is dropped by a reset: it gets so long. */
const RESET_DELAY_MS = 100;

/**
 * Ends the connection once what was written has left, so that the answer is visibly not whole.
 *
 * Closed at once, the connection takes with it what a slow caller has not read yet, and the last event
 * that it gets is torn.
 */
export function breakReply(reply: ServerResponse): void {
  const { socket } = reply;
  if (socket === null || !reply.headersSent) {
    reply.destroy();
    return;
  }
  const overdue = setTimeout(() => socket.destroy(), MOST_FLUSH_MS);
  socket.once("close", () => clearTimeout(overdue));
  if (reply.chunkedEncoding) {
    // Without the last chunk the answer is not whole, in whatever order the connection ends.
    socket.destroySoon();
  } else {
    socket.write("", () => resetLater(socket));
  }
}

/** An answer that ends with its connection would look whole if that were closed in order. */
function resetLater(socket: Socket): void {
  const timer = setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  socket.once("close", () => clearTimeout(timer));
}
