/**
 * A caller on a raw socket that reads quickly, slowly or not at all, or leaves.
 *
 * @module
 */
import { once } from "node:events";
import { connect } from "node:net";

/** How a caller reads its answer. */
export type Reader =
  | { readonly kind: "fast" }
  | { readonly kind: "slow" }
  | { readonly kind: "none" }
  | { readonly kind: "leaves"; readonly afterMs: number };

const SLOW_READ_INTERVAL_MS = 50;

/** Sends a request and reads as it is told, until the connection is closed or the time is over. */
export async function callRaw(
  address: string,
  { request, reader, timeMs }: {
    request: string;
    reader: Reader;
    timeMs: number;
  },
): Promise<void> {
  const colon = address.lastIndexOf(":");
  const socket = connect({
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  });
  socket.on("error", () => {});
  const closed = once(socket, "close").catch(() => {});
  socket.write(request);
  let slowRead: NodeJS.Timeout | undefined;
  if (reader.kind === "slow") {
    slowRead = setInterval(() => socket.read(), SLOW_READ_INTERVAL_MS);
  } else if (reader.kind !== "none") {
    socket.resume();
  }
  const leaveAfterMs = reader.kind === "leaves" ? reader.afterMs : timeMs;
  const leaving = setTimeout(() => socket.destroy(), leaveAfterMs);
  await closed;
  clearTimeout(leaving);
  clearInterval(slowRead);
}
