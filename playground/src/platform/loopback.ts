/**
 * Servers of stand-ins on loopback, on a port that the system chooses.
 *
 * @module
 */
import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";

/** Listens; gives host and port. */
export async function listenOnLoopback(server: Server): Promise<string> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return `127.0.0.1:${port}`;
}

/** Ends the server and every connection to it. */
export async function closeAtOnce(server: Server): Promise<void> {
  server.closeAllConnections();
  server.close();
  await once(server, "close");
}
