/**
 * Starts and stops the stand-ins' HTTP servers on loopback, on ports that the system chooses.
 *
 * @module
 */
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/**
 * First three octets of the addresses of this process's entries. They differ between test processes, so that fleets
 * never compete for a port.
 */
export const NETWORK_PREFIX = `127.${1 + (process.pid >> 8) % 250}.${
  process.pid % 256
}`;

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
