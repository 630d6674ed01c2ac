/**
 * Functions for headers as sent on the wire.
 *
 * @module
 */
import { holdsStatusLine } from "../sockets/index.ts";
import type { RawHeaders } from "./protocol.ts";

/** Decodes header names and values to strings. */
export function decodeHeaders(raw: readonly (Buffer | string)[]): RawHeaders {
  return raw.map((item) =>
    typeof item === "string" ? item : item.toString("latin1")
  );
}

/**
 * Whether the head of one answer runs on into that of another: the status line of the second is then a part of the
 * reason phrase or of a header's value of the first.
 */
export function containsStatusLine(
  reason: string | undefined,
  headers: RawHeaders,
): boolean {
  return holdsStatusLine(reason ?? "") ||
    headers.some((text, index) => index % 2 === 1 && holdsStatusLine(text));
}

/** Whether the body is an event stream. It is unless the headers state another content type. */
export function isEventStream(headers: RawHeaders): boolean {
  const nameIndex = headers.findIndex((name, index) =>
    index % 2 === 0 && /^content-type$/i.test(name)
  );
  return nameIndex < 0 ||
    /^\s*text\/event-stream/i.test(headers[nameIndex + 1]!);
}

/** Removes the content length, for a body whose length is stated anew or not at all. */
export function withoutContentLength(headers: RawHeaders): RawHeaders {
  return headers.filter((_, index) =>
    headers[index - index % 2]!.toLowerCase() !== "content-length"
  );
}
