/**
 * Procedures for peers and operators, metrics and health. Loaded at its first use: the libraries of it
 * take a third of the time of a start, and an entry that was killed is missed until it is back.
 *
 * @module
 */
import type { RequestListener } from "node:http";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { gatewayRouter } from "./gateway_router.ts";
import { type ControlSources, TRPC_PATH } from "./servers.ts";

const NOT_READY = 503;

/** The application as a listener. */
export function createControlApp(service: ControlSources): RequestListener {
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
  return toNodeHandler(app);
}
