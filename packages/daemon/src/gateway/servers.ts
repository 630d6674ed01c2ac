/**
 * Addresses beside the one for callers: for peers, for operators, for readiness and the directory.
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

/** Path of the procedures. */
export const TRPC_PATH = "/trpc";

/** What the control address tells beside its procedures. */
export interface ControlSources extends GatewayService {
  prometheus(): string;
  isReady(): boolean;
}

/** The control application, loaded when it is first asked. */
export function lazyControlApp(service: ControlSources): RequestListener {
  let loading: Promise<RequestListener> | undefined;
  return (message, reply): void => {
    loading ??= import("./control_app.ts").then(({ createControlApp }) =>
      createControlApp(service)
    );
    void loading.then((handle) => handle(message, reply));
  };
}

/** A server for a listener. */
export function createAppServer(listener: RequestListener): Server {
  const server = createServer(listener);
  closeIdleAfterPoll(server);
  return server;
}

/** Lets procedures through to the application, and hands everything else to the other server. */
export function shareServer(server: Server, handle: RequestListener): Server {
  const [other] = server.listeners("request") as RequestListener[];
  server.removeAllListeners("request");
  server.on(
    "request",
    (
      message: IncomingMessage,
      reply: ServerResponse & { req: IncomingMessage },
    ) => {
      const procedure = message.url?.startsWith(`${TRPC_PATH}/`) === true;
      (procedure ? handle : other!)(message, reply);
    },
  );
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
