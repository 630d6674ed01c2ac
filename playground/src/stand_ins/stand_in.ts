/**
 * Common parts of all stand-ins: an HTTP server on a port that the operating system chooses.
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
import { type H3, HTTPError } from "h3";
import { toNodeHandler } from "h3/node";

/** A stand-in for an external system. */
export interface StandIn {
  /** Starts the server and returns its base URL. */
  start(): Promise<string>;
  stop(): Promise<void>;
}

/** Handles a request without the app; returns `false` to leave it to the app. */
export type RawHandler = (
  message: IncomingMessage,
  reply: ServerResponse,
) => boolean;

/** Header that answers repeat, so that entries keep the connection. */
const NAME_HEADER = "x-request-id";

/** HTTP server that serves an app on the loopback interface. */
export class StandInServer {
  readonly #server: Server;

  constructor(app: H3, handleRaw: RawHandler = () => false) {
    const handle = toNodeHandler(app);
    this.#server = createServer((message, reply) => {
      const name = message.headers[NAME_HEADER];
      if (name !== undefined) {
        reply.setHeader(NAME_HEADER, name);
      }
      if (!handleRaw(message, reply)) {
        void handle(message, reply);
      }
    });
  }

  async start(port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", resolve);
    });
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }
}

/** Reads a JSON body; answers 400 if it is invalid. */
export async function readJson<Body>(request: Request): Promise<Body> {
  try {
    return await request.json() as Body;
  } catch {
    throw new HTTPError({ status: 400, message: "The body is not JSON" });
  }
}
