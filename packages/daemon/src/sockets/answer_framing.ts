/**
 * Determines how the end of an answer's body is marked.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";

/**
 * Whether the headers mark the end of the body, by a length or by chunked encoding. Otherwise it ends with its
 * connection, also if it has a transfer coding other than `chunked`, or one after it.
 */
export function isFramed(headers: IncomingHttpHeaders): boolean {
  const codings = headers["transfer-encoding"];
  if (codings === undefined) {
    return headers["content-length"] !== undefined;
  }
  // A field that is repeated is an array.
  return String(codings).split(",").at(-1)!.trim().toLowerCase() === "chunked";
}
