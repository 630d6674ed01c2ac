/**
 * Starts and stops the stand-ins' HTTP servers on loopback, on ports that the system chooses.
 *
 * @module
 */
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Starts listening; resolves with `host:port`. */
export async function listenOnLoopback(server: Server): Promise<string> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

/** Closes the server together with all connections to it. */
export async function forceClose(server: Server): Promise<void> {
  server.closeAllConnections();
  server.close();
  await once(server, "close");
}
