/**
 * HTTP application for the tRPC procedures, the metrics and the health check. It is loaded on first use: its
 * libraries take a third of the startup time, and an entry that was killed serves nothing until it is back.
 *
 * @module
 */
import type { RequestListener } from "node:http";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { withValidUrl } from "../sockets/index.ts";
import { gatewayRouter } from "./gateway_router.ts";
import { type ControlService, TRPC_PATH } from "./servers.ts";

const NOT_READY = 503;

/** Creates the application as a request listener. */
export function createControlApp(service: ControlService): RequestListener {
  const app = new H3();
  app.get(
    "/health",
    () =>
      new Response(null, {
        status: service.isReady() ? 200 : NOT_READY,
      }),
  );
  app.get(
    "/metrics",
    () =>
      new Response(service.prometheus(), {
        headers: { "content-type": "text/plain" },
      }),
  );
  app.all(
    `${TRPC_PATH}/**`,
    ({ req }) =>
      fetchRequestHandler({
        endpoint: TRPC_PATH,
        req,
        router: gatewayRouter,
        createContext: () => ({ service }),
      }),
  );
  return withValidUrl(toNodeHandler(app));
}
