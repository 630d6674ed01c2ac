/**
 * An HTTP client that does not mistake a truncated answer for a complete one.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import {
  Agent,
  buildConnector,
  Client,
  DecoratorHandler,
  type Dispatcher,
  Pool,
} from "undici";
import { isReset, PausableReads } from "../sockets/index.ts";
import { PausingController } from "./pausing_controller.ts";

const FIRST_FINAL_STATUS = 200;

/** Monitors the current connection of a client. */
class ConnectionMonitor {
  /** Whether the current answer has no length, so that it ends with the connection. */
  endsAnswer = false;
  /** Whether the connection has failed. */
  failed = false;
  #reads: PausableReads | undefined;

  /** Pauses reads from the connection. */
  pause(): void {
    this.#reads?.pause();
  }

  /** Resumes reads from the connection. */
  resume(): void {
    this.#reads?.resume();
  }

  /** Wraps a connector to add listeners before the client does, so that `failed` is set when an answer ends. */
  wrapConnector(connect: buildConnector.connector): buildConnector.connector {
    return (options, callback) =>
      connect(options, (...result) => {
        // On failure the library passes only the error, contrary to its type.
        if (result[0] === null) {
          this.#monitorSocket(result[1]);
        }
        callback(...result);
      });
  }

  #monitorSocket(socket: Socket): void {
    this.failed = false;
    this.endsAnswer = false;
    this.#reads = new PausableReads(socket);
    socket.on("error", () => this.failed = true);
    socket.on("end", () => this.failed ||= this.endsAnswer && isReset(socket));
  }
}

interface AnswerHandler {
  onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void;
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    reason?: string,
  ): void;
  onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void;
  onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: IncomingHttpHeaders,
  ): void;
  onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void;
}

/** The library's decorator, whose type lacks the methods. */
const Decorator = DecoratorHandler as unknown as new (
  handler: Dispatcher.DispatchHandler,
) => AnswerHandler;

/**
 * Fails an answer without a length if its connection broke. The library treats a reset as the end of such an
 * answer, so its caller would get a truncated answer as a complete one.
 */
class ResetAwareHandler extends Decorator {
  readonly #monitor: ConnectionMonitor;
  #controller: PausingController | undefined;

  constructor(handler: Dispatcher.DispatchHandler, monitor: ConnectionMonitor) {
    super(handler);
    this.#monitor = monitor;
  }

  override onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    super.onRequestStart(this.#pausingController(controller), context);
  }

  override onResponseStart(
    ...[controller, status, headers, reason]: Parameters<
      AnswerHandler["onResponseStart"]
    >
  ): void {
    if (status < FIRST_FINAL_STATUS) {
      // The library's decorator accepts one head per answer, and interim responses are not needed here.
      return;
    }
    this.#monitor.endsAnswer = !isFramed(headers);
    super.onResponseStart(
      this.#pausingController(controller),
      status,
      headers,
      reason,
    );
  }

  override onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    super.onResponseData(this.#pausingController(controller), chunk);
  }

  override onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: IncomingHttpHeaders,
  ): void {
    const { endsAnswer, failed } = this.#monitor;
    const pausing = this.#pausingController(controller);
    pausing.end();
    this.#monitor.endsAnswer = false;
    if (endsAnswer && failed) {
      super.onResponseError(pausing, new Error("Answer was cut off"));
    } else {
      super.onResponseEnd(pausing, trailers);
    }
  }

  override onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const pausing = this.#pausingController(controller);
    pausing.end();
    super.onResponseError(pausing, error);
  }

  #pausingController(
    controller: Dispatcher.DispatchController,
  ): PausingController {
    this.#controller ??= new PausingController(controller, this.#monitor);
    return this.#controller;
  }
}

/** A client with a single connection that fails truncated answers, see `ResetAwareHandler`. */
export class ResetAwareClient extends Client {
  readonly #monitor: ConnectionMonitor;

  constructor(
    origin: string | URL,
    { connect, ...options }: Client.Options & {
      connect: buildConnector.connector;
    },
  ) {
    const monitor = new ConnectionMonitor();
    super(origin, { ...options, connect: monitor.wrapConnector(connect) });
    this.#monitor = monitor;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(
      options,
      new ResetAwareHandler(handler, this.#monitor),
    );
  }
}

/** Creates a pool of kept-alive connections without pipelining. */
export function createResetAwareAgent(
  { connections, connectTimeout, ...options }: Client.Options & {
    /** Maximum number of connections to one origin. */
    connections: number;
    /** Timeout for a new connection, in milliseconds. */
    connectTimeout: number;
  },
): Agent {
  return new Agent({
    factory: (origin) =>
      new Pool(origin, {
        connections,
        factory: (url) =>
          new ResetAwareClient(url, {
            ...options,
            pipelining: 1,
            connect: createConnector(connectTimeout),
          }),
      }),
  });
}

/** Creates a connector whose sockets allow a reset to be distinguished from an end. */
export function createConnector(
  timeout: number,
): buildConnector.connector {
  // `isReset` needs sockets that stay writable after the other side has ended; the client closes them.
  return buildConnector({ timeout, allowHalfOpen: true });
}

/** Whether a body has a length or is chunked, so that its end is known. */
function isFramed(headers: IncomingHttpHeaders): boolean {
  return headers["content-length"] !== undefined ||
    /\bchunked\s*$/i.test(String(headers["transfer-encoding"]));
}
