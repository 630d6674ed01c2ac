/**
 * The HTTP server of the control address: tRPC for peers and operators, metrics and health for monitoring.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { H3 } from "h3";
import { toNodeHandler } from "h3/node";
import {
  type Credentials,
  PEER_HEADER,
  peerRouter,
  type PeerService,
} from "../peers/index.ts";
import { withValidUrl } from "../sockets/index.ts";
import { closeIdleAfterPoll } from "../timers/index.ts";

const MAX_HEADER_BYTES = 8_192;
const MAX_BATCH = 1;
/** Exceeds a hand-over of 20,000 keys with small answers, and the configuration. */
const MAX_BODY_BYTES = 16_777_216;
const REQUEST_TIMEOUT_MS = 10_000;

/** Operations of an entry that the control server needs. */
export interface ControlService extends PeerService {
  prometheus(): string;
  isReady(): boolean;
}

/** Creates the server, which does not listen yet. */
export function createControlServer(
  service: ControlService,
  credentials: Credentials,
): Server {
  const app = new H3();
  app.get("/health", () => {
    const ready = service.isReady();
    return new Response(ready ? "ready\n" : "not ready\n", {
      status: ready ? 200 : 503,
    });
  });
  app.get(
    "/metrics",
    () =>
      new Response(service.prometheus(), {
        headers: { "content-type": "text/plain" },
      }),
  );
  app.all("/trpc/**", ({ req }) => {
    const proved = credentials.verify(req.headers.get(PEER_HEADER));
    const length = Number(req.headers.get("content-length") ?? 0);
    // Reject the request before reading its body if it has no valid proof or is too large for any message.
    if (!proved || length > MAX_BODY_BYTES) {
      return new Response(null, {
        status: proved ? 413 : 401,
        headers: { connection: "close" },
      });
    }
    return fetchRequestHandler({
      endpoint: "/trpc",
      req,
      router: peerRouter,
      allowBatching: MAX_BATCH > 1,
      createContext: () => ({ service, proved }),
    });
  });
  const server = createServer(
    { maxHeaderSize: MAX_HEADER_BYTES },
    withValidUrl(toNodeHandler(app)),
  );
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  closeIdleAfterPoll(server);
  return server;
}
