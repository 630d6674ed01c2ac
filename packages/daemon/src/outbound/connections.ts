/**
 * HTTP connections to endpoints and peers.
 *
 * @module
 */
import type { Agent, Client, Dispatcher } from "undici";
import {
  createConnector,
  createResetAwareAgent,
  ResetAwareClient,
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

/**
 * Creates a pool of kept-alive connections without pipelining, for calls that may be repeated. A connection is
 * used again only after an answer that repeated its request's `nameHeader`.
 */
export function createSharedAgent(nameHeader: string): Agent {
  return createResetAwareAgent({
    ...CLIENT_OPTIONS,
    nameHeader,
    connections: MAX_CONNECTIONS_PER_ORIGIN,
    connectTimeout: CONNECT_TIMEOUT_MS,
  });
}

/**
 * Creates a client with a single connection, for one call that must not be repeated.
 *
 * A client that reconnects by itself when a kept-alive connection breaks during a request could send the
 * call twice, which would show as two runs for a single attempt in the log. Here `mayWrite` is called once,
 * after the connection is established and before any byte is written, and a second connection is refused.
 */
export function createSingleUseClient(
  origin: string,
  { mayWrite, nameHeader }: {
    mayWrite: () => boolean;
    /** Header in which answers may name the request that they belong to. */
    nameHeader: string;
  },
): Client {
  const connect = createConnector(CONNECT_TIMEOUT_MS);
  let connected = false;
  return new ResetAwareClient(origin, {
    ...CLIENT_OPTIONS,
    nameHeader,
    connect: (options, callback): void => {
      if (connected) {
        callback(new WithdrawnError(), null);
        return;
      }
      connect(options, (error, socket) => {
        if (error !== null) {
          callback(error, null);
        } else if (mayWrite()) {
          connected = true;
          callback(null, socket);
        } else {
          connected = true;
          socket?.destroy();
          callback(new WithdrawnError(), null);
        }
      });
    },
  });
}

/** Signals that the attempt was withdrawn before any byte was written. */
export class WithdrawnError extends Error {
  override readonly name = "WithdrawnError";

  constructor() {
    super("The attempt was withdrawn before it was written");
  }
}

/** Whether an error means that no connection was established, so that nothing was written. */
export function isConnectError(error: unknown): boolean {
  const { code, syscall } = error as { code?: string; syscall?: string };
  return error instanceof WithdrawnError ||
    code === "UND_ERR_CONNECT_TIMEOUT" || syscall === "connect";
}

/** A dispatcher for one attempt, which must be released afterwards. */
export interface Connection {
  readonly dispatcher: Dispatcher;
  release(): void;
}
