/**
 * A pool of connections to endpoints and peers, each used for one request at a time.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import {
  CONNECTION_LIMIT_REACHED,
  type Instant,
  parseSocketAddress,
} from "@sassafrasstep/core";
import { type buildConnector, Client } from "undici";
import { PausableSocket } from "./pausable_socket.ts";
import { afterPoll } from "../timers/index.ts";
import { isReset, type VersionCheck, watchVersion } from "../sockets/index.ts";

/** Within a region connecting takes a few milliseconds; this allows for losing the first packet once. */
const CONNECT_TIMEOUT_MS = 400;
/** Two round trips to another region. */
export const CROSS_REGION_CONNECT_TIMEOUT_MS = 700;
/**
 * Idle time after which connections are closed if the server states no keep-alive timeout: sooner than it
 * would.
 */
const KEEP_ALIVE_TIMEOUT_MS = 8_000;
/** How long before a keep-alive timeout that the server states the connection is closed. */
const KEEP_ALIVE_MARGIN_MS = 300;
const CONNECTION_REFUSED_CODE = "ECONNREFUSED";
const MAX_RESPONSE_HEADER_BYTES = 32_768;

/** No connection could be used, and nothing was written. */
export class ConnectError extends Error {
  override readonly name = "ConnectError";
  /** Whether the connection was refused because nothing listens at the address. */
  readonly refused: boolean;

  constructor(message: string, { refused = false } = {}) {
    super(message);
    this.refused = refused;
  }
}

/** Requirements for a connection. */
export interface ConnectionRequest {
  /** Host and port, as `host:port`. */
  readonly address: string;
  /** Maximum number of open connections to the address. */
  readonly limit: number;
  /** Maximum time in milliseconds for which a reused connection may have been idle. */
  readonly maxIdleTime: number;
  /** Whether the address may be in another region, which takes longer to reach. */
  readonly crossRegion: boolean;
}

/** A connection with its HTTP client. */
export class Connection {
  readonly client: Client;
  readonly address: string;
  readonly #socket: PausableSocket;
  readonly #version: VersionCheck;
  readonly #onClosing: () => void;
  idleSince: Instant;
  /**
   * Whether the connection has failed or was closed. An answer without a length ends with its connection; if
   * a reset went unnoticed, the caller would receive a truncated answer as a complete one.
   */
  failed = false;
  /** Whether the end of the current answer is marked only by the connection closing. */
  closeDelimited = false;
  /** Requests that were sent on the connection. */
  #requests = 0;
  /** Whether the client has received the socket, which it requests with its first request. */
  #handedOut = false;

  /** `onClosing` is called when the connection is closed by this side, before the socket reports it. */
  constructor(
    socket: PausableSocket,
    address: string,
    { now, onClosing }: { now: Instant; onClosing: () => void },
  ) {
    this.#socket = socket;
    this.#version = watchVersion(socket);
    this.address = address;
    this.idleSince = now;
    this.#onClosing = onClosing;
    socket.on("error", () => this.failed = true);
    socket.on("end", () => {
      if (!this.#handedOut) {
        // The socket is half-open and the client does not know of it yet, so nothing else would close it.
        this.close();
      } else if (this.closeDelimited && isReset(socket)) {
        this.failed = true;
      }
    });
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      connect: createSingleUseConnector(socket, () => this.#handedOut = true),
    });
    this.client.on("disconnect", () => this.failed = true);
  }

  /** Whether a request was sent before the current one. */
  get isReused(): boolean {
    return this.#requests > 1;
  }

  /** Whether the connection can carry another request. */
  get isUsable(): boolean {
    return !this.failed && !this.#socket.destroyed;
  }

  /** Whether the end of the current answer is that of a connection that failed, so that the answer is not whole. */
  get isCutOff(): boolean {
    return this.closeDelimited && this.failed;
  }

  /** Notes that a request is about to be sent. */
  beginAnswer(): void {
    this.#requests++;
    this.#socket.framing.reset();
    this.#version.reset();
  }

  /** Counts bytes that arrived as a part of an answer's body. */
  addBody(bytes: number): void {
    this.#socket.framing.addBody(bytes);
  }

  /** Stops reading until `resumeReading`. */
  pauseReading(): void {
    this.#socket.pauseReading();
  }

  /** Continues reading. */
  resumeReading(): void {
    this.#socket.resumeReading();
  }

  /** Closes the connection. */
  close(): void {
    this.failed = true;
    this.client.destroy().catch(ignoreCloseError);
    this.#socket.destroy();
    this.#onClosing();
  }
}

/**
 * Creates a connector that hands out the socket once. A client that reconnected on its own could send a
 * request twice without the gateway having decided so.
 */
function createSingleUseConnector(
  socket: Socket,
  onHandedOut: () => void,
): buildConnector.connector {
  let used = false;
  return (_options, callback): void => {
    const isFirst = !used && !socket.destroyed;
    used = true;
    onHandedOut();
    queueMicrotask(() =>
      isFirst
        ? callback(null, socket)
        : callback(new ConnectError("Connection was closed"), null)
    );
  };
}

function ignoreCloseError(): void {
  // The connection is already closed, which is the goal.
}

/** The pool of connections by address. */
export class ConnectionPool {
  readonly #idleByAddress = new Map<string, Connection[]>();
  readonly #openCounts = new Map<string, number>();
  /** Sockets that are counted as open. */
  readonly #open = new WeakSet<Socket>();
  /** Number of connections opened since the start, for metrics. */
  opened = 0;

  /** Passes `done` an idle connection immediately, or opens a new one. */
  acquire(
    request: ConnectionRequest,
    now: Instant,
    done: (result: Connection | ConnectError) => void,
  ): void {
    const idle = this.#acquireIdle(request, now);
    if (idle !== undefined) {
      done(idle);
      return;
    }
    const openCount = this.#openCounts.get(request.address) ?? 0;
    if (openCount >= request.limit && !this.#evictIdle(request.address)) {
      done(new ConnectError(CONNECTION_LIMIT_REACHED));
      return;
    }
    this.#connect(request, now, done);
  }

  /** Connects and closes again immediately; calls `onRefused` if nothing listens at the address. */
  probe(address: string, onRefused: () => void): void {
    const target = parseSocketAddress(address);
    if (target === undefined) {
      return;
    }
    const socket = connect({ ...target });
    this.opened++;
    const cancel = afterPoll(CONNECT_TIMEOUT_MS, () => socket.destroy());
    socket.once("close", cancel);
    socket.once("connect", () => socket.destroy());
    socket.on("error", ({ code }: Error & { code?: string }) => {
      if (code === CONNECTION_REFUSED_CODE) {
        onRefused();
      }
    });
  }

  /** Returns a connection to the pool when its request has ended, unless the connection has failed. */
  release(connection: Connection, now: Instant): void {
    connection.resumeReading();
    if (!connection.isUsable) {
      return;
    }
    connection.idleSince = now;
    const idle = this.#idleByAddress.get(connection.address) ?? [];
    idle.push(connection);
    this.#idleByAddress.set(connection.address, idle);
  }

  closeAll(): void {
    for (const idle of this.#idleByAddress.values()) {
      idle.forEach((connection) => connection.close());
    }
    this.#idleByAddress.clear();
  }

  /** Takes the most recently used idle connection, so that surplus connections time out. */
  #acquireIdle(
    { address, maxIdleTime }: ConnectionRequest,
    now: Instant,
  ): Connection | undefined {
    const idle = this.#idleByAddress.get(address);
    while (idle !== undefined && idle.length > 0) {
      const connection = idle[idle.length - 1]!;
      if (connection.failed) {
        idle.pop();
      } else if (now - connection.idleSince >= maxIdleTime) {
        return undefined;
      } else {
        idle.pop();
        return connection;
      }
    }
    return undefined;
  }

  #connect(
    { address, crossRegion }: ConnectionRequest,
    now: Instant,
    done: (result: Connection | ConnectError) => void,
  ): void {
    const target = parseSocketAddress(address);
    if (target === undefined) {
      done(new ConnectError(`Cannot connect to "${address}": not host:port`));
      return;
    }
    // Our side stays open when the server closes its side, as `isReset` requires; the client closes it.
    const socket = new PausableSocket({ allowHalfOpen: true });
    socket.connect({ ...target, noDelay: true });
    this.#countOpen(socket, address);
    const timeout = crossRegion
      ? CROSS_REGION_CONNECT_TIMEOUT_MS
      : CONNECT_TIMEOUT_MS;
    // After a pause of the process the connection may be established without the event having been handled.
    const cancel = afterPoll(
      timeout,
      () => socket.destroy(new ConnectError("Connection timed out")),
    );
    const fail = (error: Error & { code?: string }): void => {
      cancel();
      const refused = error.code === CONNECTION_REFUSED_CODE;
      done(new ConnectError(error.message, { refused }));
    };
    socket.once("error", fail);
    socket.once("connect", () => {
      cancel();
      socket.off("error", fail);
      done(this.#adopt(socket, address, now));
    });
  }

  // Listeners that stay with the connection are added in functions of their own. Closures of one function share its
  // variables, and `done` refers to the request that opened the connection, with its body.

  #countOpen(socket: Socket, address: string): void {
    this.#adjustOpenCount(address, 1);
    this.opened++;
    this.#open.add(socket);
    socket.once("close", () => this.#discount(socket, address));
  }

  #discount(socket: Socket, address: string): void {
    if (this.#open.delete(socket)) {
      this.#adjustOpenCount(address, -1);
    }
  }

  #adopt(socket: PausableSocket, address: string, now: Instant): Connection {
    const connection = new Connection(socket, address, {
      now,
      onClosing: () => this.#discount(socket, address),
    });
    socket.once("close", () => this.#removeIdle(connection));
    return connection;
  }

  /** Closes the connection that was idle for longest; returns whether there was one. */
  #evictIdle(address: string): boolean {
    const oldest = this.#idleByAddress.get(address)?.shift();
    oldest?.close();
    return oldest !== undefined;
  }

  #removeIdle(connection: Connection): void {
    const idle = this.#idleByAddress.get(connection.address) ?? [];
    const index = idle.indexOf(connection);
    if (index >= 0) {
      idle.splice(index, 1);
    }
  }

  #adjustOpenCount(address: string, change: 1 | -1): void {
    const openCount = (this.#openCounts.get(address) ?? 0) + change;
    if (openCount > 0) {
      this.#openCounts.set(address, openCount);
    } else {
      this.#openCounts.delete(address);
    }
  }
}
