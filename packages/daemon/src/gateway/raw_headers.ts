/**
 * Headers as they stand on the wire.
 *
 * @module
 */
import type { RawHeaders } from "./protocol.ts";

/** Headers as text. */
export function decodeHeaders(raw: readonly (Buffer | string)[]): RawHeaders {
  return raw.map((item) =>
    typeof item === "string" ? item : item.toString("latin1")
  );
}

/** Whether a body says where it ends. */
export function isFramed(headers: RawHeaders): boolean {
  return headers.some((name, index) =>
    index % 2 === 0 && /^(content-length|transfer-encoding)$/i.test(name)
  );
}

/** Whether a body consists of events: every one but what says that it is something else. */
export function isEventStream(headers: RawHeaders): boolean {
  const at = headers.findIndex((name, index) =>
    index % 2 === 0 && /^content-type$/i.test(name)
  );
  return at < 0 || /^\s*text\/event-stream/i.test(headers[at + 1]!);
}

/** For a body whose length is known anew. */
export function withoutLength(headers: RawHeaders): RawHeaders {
  return headers.filter((_, index) =>
    headers[index - index % 2]!.toLowerCase() !== "content-length"
  );
}
