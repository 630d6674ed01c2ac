/**
 * Parses requests without an HTTP library.
 *
 * @module
 */
import type { Socket } from "node:net";
import { HEADERS } from "@sassafrasstep/platform";

const HEAD_END = "\r\n\r\n";

/** A request as the engine received it. */
export interface RawRequest {
  readonly call: string;
  /** Number of the event after which the stream is to continue, or 0. */
  readonly after: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly at: number;
}

/** Parses a request, or returns `undefined` while its body is incomplete. */
function parseRequest(text: string): RawRequest | undefined {
  const end = text.indexOf(HEAD_END);
  if (end < 0) {
    return undefined;
  }
  const headers = new Map(
    text.slice(0, end).split("\r\n").slice(1).map((line) => {
      const colon = line.indexOf(":");
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  const length = Number(headers.get("content-length") ?? 0);
  if (text.length < end + HEAD_END.length + length) {
    return undefined;
  }
  return {
    call: headers.get(HEADERS.callId) ?? "",
    after: Number(headers.get(HEADERS.lastEventId) ?? 0),
    headers,
    at: performance.now(),
  };
}

/** Calls `receive` for each request that arrives on a connection, one at a time. */
export function onRequests(
  socket: Socket,
  receive: (request: RawRequest) => void,
): void {
  let text = "";
  socket.on("data", (bytes) => {
    text += bytes.toString("latin1");
    const request = parseRequest(text);
    if (request !== undefined) {
      text = "";
      receive(request);
    }
  });
}
