/**
 * Kept connections to endpoints and peers, one request at a time on each.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { CONNECTION_LIMIT_REACHED, type Instant } from "@sassafrasstep/core";
import { type buildConnector, Client } from "undici";
import { EndpointSocket } from "./endpoint_socket.ts";
import { afterPoll } from "../timers/index.ts";
import { isReset } from "../sockets/index.ts";

/** Within a region a connection stands after a few milliseconds; the first packet may be lost once. */
const CONNECT_TIMEOUT_MS = 400;
/** The way to another region and back, twice. */
export const FAR_CONNECT_TIMEOUT_MS = 700;
/** Idle connections are closed by us before the other side does, where it does not tell its time. */
const IDLE_MS = 8_000;
/** And this long before the time that it tells. */
const IDLE_MARGIN_MS = 300;
const REFUSED = "ECONNREFUSED";
const MAX_RESPONSE_HEADER_BYTES = 32_768;

/** No connection came about: nothing was written. */
export class ConnectError extends Error {
  override readonly name = "ConnectError";
  /** Whether nothing listens at the address. */
  readonly refused: boolean;

  constructor(message: string, { refused = false } = {}) {
    super(message);
    this.refused = refused;
  }
}

/** How a connection is wanted. */
export interface Wish {
  /** Host and port. */
  readonly address: string;
  /** Connections that may be open at the address. */
  readonly limit: number;
  /** Longest idle time of a kept one, in milliseconds. */
  readonly mostIdle: number;
  readonly far: boolean;
}

/** One connection. */
export class Connection {
  readonly client: Client;
  readonly address: string;
  readonly #socket: EndpointSocket;
  idleSince: Instant;
  /**
   * Set once the socket had an error. An answer without a length ends with its connection; one that
   * was reset on the way would pass for whole, and its caller would get a part of it.
   */
  failed = false;
  /** Whether the answer under way ends with the connection. */
  endsAnswer = false;
  /** Whether the client has its socket: it asks for it with its first request. */
  #handedOut = false;

  constructor(socket: EndpointSocket, address: string, now: Instant) {
    this.#socket = socket;
    this.address = address;
    this.idleSince = now;
    socket.on("error", () => this.failed = true);
    socket.on("end", () => {
      if (!this.#handedOut) {
        // Its side stays open for the client's sake, which does not know of it yet: it would never close.
        this.close();
      } else if (this.endsAnswer && isReset(socket)) {
        this.failed = true;
      }
    });
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      maxHeaderSize: MAX_RESPONSE_HEADER_BYTES,
      connect: oneSocket(socket, () => this.#handedOut = true),
    });
    this.client.on("disconnect", () => this.failed = true);
  }

  /** Reads nothing more, for now. */
  hold(): void {
    this.#socket.hold();
  }

  /** Reads again. */
  release(): void {
    this.#socket.release();
  }

  /** Ends the connection. */
  close(): void {
    this.failed = true;
    this.client.destroy().catch(ignoreClosed);
    if (!this.#handedOut) {
      this.#socket.destroy();
    }
  }
}

/**
 * Hands the socket out once: a client that connects anew by itself would send a request twice without
 * anybody having decided it.
 */
function oneSocket(
  socket: Socket,
  handedOut: () => void,
): buildConnector.connector {
  let taken = false;
  return (_options, callback): void => {
    const first = !taken && !socket.destroyed;
    taken = true;
    handedOut();
    queueMicrotask(() =>
      first
        ? callback(null, socket)
        : callback(new ConnectError("Connection was closed"), null)
    );
  };
}

function ignoreClosed(): void {
  // A connection that is closed already is what was wanted.
}

/** All connections by address. */
export class Connections {
  readonly #idle = new Map<string, Connection[]>();
  readonly #open = new Map<string, number>();
  /** Opened since the start, for metrics. */
  opened = 0;

  /** Gives a kept connection at once, or opens one. */
  take(
    wish: Wish,
    now: Instant,
    done: (result: Connection | ConnectError) => void,
  ): void {
    const kept = this.#takeIdle(wish, now);
    if (kept !== undefined) {
      done(kept);
      return;
    }
    const open = this.#open.get(wish.address) ?? 0;
    if (open >= wish.limit && !this.#evict(wish.address)) {
      done(new ConnectError(CONNECTION_LIMIT_REACHED));
      return;
    }
    this.#connect(wish, now, done);
  }

  /** Connects and closes at once; `closed` is called if nothing listens there. */
  knock(address: string, closed: () => void): void {
    const colon = address.lastIndexOf(":");
    const socket = connect({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
    });
    this.opened++;
    const cancel = afterPoll(CONNECT_TIMEOUT_MS, () => socket.destroy());
    socket.once("close", cancel);
    socket.once("connect", () => socket.destroy());
    socket.on("error", ({ code }: Error & { code?: string }) => {
      if (code === REFUSED) {
        closed();
      }
    });
  }

  /** Gives a connection back after a whole answer. */
  giveBack(connection: Connection, now: Instant): void {
    connection.release();
    if (connection.failed) {
      return;
    }
    connection.idleSince = now;
    const idle = this.#idle.get(connection.address) ?? [];
    idle.push(connection);
    this.#idle.set(connection.address, idle);
  }

  closeAll(): void {
    for (const idle of this.#idle.values()) {
      idle.forEach((connection) => connection.close());
    }
    this.#idle.clear();
  }

  /** The one used last, so that those that are not needed run out. */
  #takeIdle(
    { address, mostIdle }: Wish,
    now: Instant,
  ): Connection | undefined {
    const idle = this.#idle.get(address);
    while (idle !== undefined && idle.length > 0) {
      const connection = idle[idle.length - 1]!;
      if (connection.failed) {
        idle.pop();
      } else if (now - connection.idleSince >= mostIdle) {
        return undefined;
      } else {
        idle.pop();
        return connection;
      }
    }
    return undefined;
  }

  #connect(
    { address, far }: Wish,
    now: Instant,
    done: (result: Connection | ConnectError) => void,
  ): void {
    const colon = address.lastIndexOf(":");
    // Ours stays open when the other side ends, see `isReset`; the client closes it.
    const socket = new EndpointSocket({ allowHalfOpen: true });
    socket.connect({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
      noDelay: true,
    });
    this.#count(address, 1);
    this.opened++;
    const timeout = far ? FAR_CONNECT_TIMEOUT_MS : CONNECT_TIMEOUT_MS;
    // After a pause of the process the connection may stand without its having been told.
    const cancel = afterPoll(
      timeout,
      () => socket.destroy(new ConnectError("Connection timed out")),
    );
    const fail = (error: Error & { code?: string }): void => {
      cancel();
      const refused = error.code === REFUSED;
      done(new ConnectError(error.message, { refused }));
    };
    socket.once("error", fail);
    socket.once("close", () => this.#count(address, -1));
    socket.once("connect", () => {
      cancel();
      socket.off("error", fail);
      const connection = new Connection(socket, address, now);
      socket.once("close", () => this.#drop(connection));
      done(connection);
    });
  }

  /** Makes room by closing the connection that was idle for longest. */
  #evict(address: string): boolean {
    const oldest = this.#idle.get(address)?.shift();
    oldest?.close();
    return oldest !== undefined;
  }

  #drop(connection: Connection): void {
    const idle = this.#idle.get(connection.address) ?? [];
    const index = idle.indexOf(connection);
    if (index >= 0) {
      idle.splice(index, 1);
    }
  }

  #count(address: string, change: 1 | -1): void {
    const open = (this.#open.get(address) ?? 0) + change;
    if (open > 0) {
      this.#open.set(address, open);
    } else {
      this.#open.delete(address);
    }
  }
}
