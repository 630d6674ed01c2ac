/**
 * Connections to endpoints and peers.
 *
 * @module
 */
import type { Agent, Client, Dispatcher } from "undici";
import {
  createConnector,
  createWatchedAgent,
  WatchedClient,
} from "../clients/index.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_CONNECTIONS_PER_ORIGIN = 256;
const MAX_RESPONSE_HEADER_BYTES = 32_768;
const CLIENT_OPTIONS = {
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
} as const;

/** Kept connections, one request at a time on each. For calls that may be repeated. */
export function createSharedConnections(): Agent {
  return createWatchedAgent({
    ...CLIENT_OPTIONS,
    connections: MAX_CONNECTIONS_PER_ORIGIN,
    connectTimeout: CONNECT_TIMEOUT_MS,
  });
}

/**
 * A connection of its own for one call that may not be repeated.
 *
 * A client that reconnects by itself when a kept connection dies under a request could send the call
 * twice; one would notice by two runs with a single attempt in the log. Here `mayWrite` is asked once,
 * when the connection stands and before any byte is written, and a second connection is refused.
 */
export function createOneConnection(
  origin: string,
  mayWrite: () => boolean,
): Client {
  const connect = createConnector(CONNECT_TIMEOUT_MS);
  let used = false;
  return new WatchedClient(origin, {
    ...CLIENT_OPTIONS,
    connect: (options, callback): void => {
      if (used) {
        callback(new WithdrawnError(), null);
        return;
      }
      connect(options, (error, socket) => {
        if (error !== null) {
          callback(error, null);
        } else if (mayWrite()) {
          used = true;
          callback(null, socket);
        } else {
          used = true;
          socket?.destroy();
          callback(new WithdrawnError(), null);
        }
      });
    },
  });
}

/** The attempt was given up before any byte was written. */
export class WithdrawnError extends Error {
  override readonly name = "WithdrawnError";

  constructor() {
    super("The attempt was withdrawn before it was written");
  }
}

/** Whether an error says that no connection came about, so that nothing was written. */
export function isConnectError(error: unknown): boolean {
  const { code, syscall } = error as { code?: string; syscall?: string };
  return error instanceof WithdrawnError ||
    code === "UND_ERR_CONNECT_TIMEOUT" || syscall === "connect";
}

/** A dispatcher and how to be done with it. */
export interface Connection {
  readonly dispatcher: Dispatcher;
  release(): void;
}
