/**
 * Rejects requests whose target and host are no URL.
 *
 * @module
 */
import type { RequestListener } from "node:http";

const BAD_REQUEST = 400;

/**
 * Wraps a listener of a library that makes a URL of each request: its constructor throws for hosts such as `1e99`, in
 * the middle of an event of the server, and the process would end.
 */
export function withValidUrl(listener: RequestListener): RequestListener {
  return (message, reply): void => {
    const { headers, url = "/" } = message;
    const host = headers.host ?? "localhost";
    if (URL.canParse(`http://${host}${url}`)) {
      listener(message, reply);
    } else {
      reply.writeHead(BAD_REQUEST, { connection: "close", "content-length": 0 })
        .end();
    }
  };
}
