/**
 * Tells a reset from an end.
 *
 * @module
 */
import type { Socket } from "node:net";

/**
 * Whether a connection that seems to have ended in order was reset.
 *
 * The event loop's library tells of an end where a reset arrives together with the last bytes, so that a
 * torn answer without a length looks whole; one notices by bodies that are too short. A write tells: it
 * fails at once on a connection that was reset. An empty line is the one thing that means nothing to a
 * peer that has only closed its side.
 */
export function isReset(socket: Socket): boolean {
  socket.write("\r\n");
  return socket.errored !== null;
}
