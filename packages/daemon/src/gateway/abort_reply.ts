/**
 * Aborts an answer that cannot be completed.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The longest time for which a caller that reads nothing keeps its connection. */
const FLUSH_TIMEOUT_MS = 5_000;
/** Time for the kernel to send what it has buffered: a reset would drop it. */
const RESET_DELAY_MS = 100;

/**
 * Closes the connection once everything written has been sent, in a way that shows the caller that the answer
 * is incomplete.
 *
 * Closing it immediately would discard what a slow caller has not read yet and truncate the last event that
 * the caller receives.
 */
export function abortReply(reply: ServerResponse): void {
  const { socket } = reply;
  if (socket === null || !reply.headersSent) {
    reply.destroy();
    return;
  }
  // Without the final chunk the answer is recognizably incomplete, however the connection closes.
  const isChunked = reply.chunkedEncoding;
  const flushTimer = setTimeout(
    () => isChunked ? socket.destroy() : socket.resetAndDestroy(),
    FLUSH_TIMEOUT_MS,
  );
  socket.once("close", () => clearTimeout(flushTimer));
  if (isChunked) {
    socket.destroySoon();
  } else {
    socket.write("", () => resetAfterDelay(socket));
  }
}

/** Resets the connection: an answer delimited by it would look complete if the connection closed normally. */
function resetAfterDelay(socket: Socket): void {
  const timer = setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  socket.once("close", () => clearTimeout(timer));
}
