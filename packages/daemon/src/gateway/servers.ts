/**
 * HTTP servers for peers, operators, readiness checks and the directory.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { closeIdleAfterPoll } from "../timers/index.ts";
import type { GatewayService } from "./gateway_router.ts";
import { CATALOGUE_PATH, formatCatalogueAnswer } from "./snapshot_message.ts";

/** Path prefix of the tRPC procedures. */
export const TRPC_PATH = "/trpc";
const OK = 200;

/** Operations that the control address serves, including those of the procedures. */
export interface ControlService extends GatewayService {
  prometheus(): string;
  isReady(): boolean;
}

/** Creates a listener that loads the control application on its first request. */
export function lazyControlApp(service: ControlService): RequestListener {
  let loading: Promise<RequestListener> | undefined;
  return (message, reply): void => {
    loading ??= import("./control_app.ts").then(({ createControlApp }) =>
      createControlApp(service)
    );
    void loading.then((handle) => handle(message, reply));
  };
}

/** Creates a server for a listener. */
export function createAppServer(listener: RequestListener): Server {
  const server = createServer(listener);
  closeIdleAfterPoll(server);
  return server;
}

/** Answers the procedure that peers call, as the control application does. */
export function createCatalogueHandler(
  service: Pick<ControlService, "snapshot">,
): RequestListener {
  return (_message, reply): void => {
    const body = Buffer.from(formatCatalogueAnswer(service.snapshot()));
    reply.writeHead(OK, {
      "content-type": "application/json",
      "content-length": body.length,
    });
    reply.end(body);
  };
}

/** Routes procedure calls to their handlers and all other requests to the server's own listener. */
export function routeProcedures(
  server: Server,
  { catalogue, controlApp }: {
    /** Handler of requests for the catalogue. */
    catalogue: RequestListener;
    /** Handler of all other procedures. */
    controlApp: RequestListener;
  },
): Server {
  const [originalListener] = server.listeners("request") as RequestListener[];
  server.removeAllListeners("request");
  server.on(
    "request",
    (
      message: IncomingMessage,
      reply: ServerResponse & { req: IncomingMessage },
    ) => {
      const { method, url } = message;
      if (method === "GET" && url === CATALOGUE_PATH) {
        catalogue(message, reply);
      } else if (url?.startsWith(`${TRPC_PATH}/`) === true) {
        controlApp(message, reply);
      } else {
        originalListener!(message, reply);
      }
    },
  );
  return server;
}

/** Starts listening and returns the actual host and port. */
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
