/**
 * Addresses beside the one for callers: for peers, for operators, for readiness and the directory.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { fetchRequestHandler } from "@trpc/server/adapters/fetch";
import { H3 } from "h3";
import { toNodeHandler } from "h3/node";
import { gatewayRouter, type GatewayService } from "./gateway_router.ts";

const TRPC_PATH = "/trpc";
const NOT_READY = 503;

/** What the control address tells beside its procedures. */
export interface ControlSources extends GatewayService {
  prometheus(): string;
  isReady(): boolean;
}

/** Procedures for peers and operators, metrics and health. */
export function createControlApp(service: ControlSources): H3 {
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
  return app;
}

/** A server for an application. */
export function createAppServer(app: H3): Server {
  return createServer(toNodeHandler(app));
}

/** Lets procedures through to the application, and hands everything else to the other server. */
export function shareServer(server: Server, app: H3): Server {
  const handle = toNodeHandler(app);
  const [other] = server.listeners("request") as ((
    message: IncomingMessage,
    reply: ServerResponse,
  ) => void)[];
  server.removeAllListeners("request");
  server.on("request", (message: IncomingMessage, reply: ServerResponse) => {
    if (message.url?.startsWith(`${TRPC_PATH}/`)) {
      void handle(message, reply);
    } else {
      other!(message, reply);
    }
  });
  return server;
}

/** Listens; gives host and port. */
export async function listenOn(
  server: Server,
  { host, port }: { host: string; port: number },
): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const { address, port: actual } = server.address() as AddressInfo;
  return `${address}:${actual}`;
}
