/**
 * Distinguishes a reset connection from one that ended normally.
 *
 * @module
 */
import type { Socket } from "node:net";

/**
 * Whether a connection that seems to have ended normally was reset.
 *
 * If a reset arrives together with the last bytes, libuv reports a normal end, so a truncated answer without
 * a length looks complete, which shows as bodies that are too short. A write reveals the reset, because it
 * fails at once on a reset connection. An empty line is written, as it is the only text that means nothing to
 * a peer that has only closed its side.
 *
 * A write would wait behind a request that is still queued, and the end of the answer does not wait for it. In that
 * case the peer's address tells: the system has none for a reset connection, also if the peer closed its side before.
 * The address must not have been read earlier, because the socket keeps it.
 */
export function isReset(socket: Socket): boolean {
  if (socket.writableLength > 0) {
    return socket.remoteAddress === undefined;
  }
  socket.write("\r\n");
  return socket.errored !== null;
}
