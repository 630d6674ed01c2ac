/**
 * A client that doesn't take a torn answer for a whole one.
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
import { isReset, ReadHold } from "../sockets/index.ts";
import { HoldingController } from "./holding_controller.ts";

const FIRST_FINAL_STATUS = 200;

/** What is seen of the connection that a client has now. */
class SocketWatch {
  /** Whether the answer under way ends with the connection. */
  endsAnswer = false;
  /** Whether the connection had an error. */
  failed = false;
  #reading: ReadHold | undefined;

  /** Reads nothing more of it, for now. */
  hold(): void {
    this.#reading?.hold();
  }

  /** Reads again. */
  release(): void {
    this.#reading?.release();
  }

  /** Looks at each connection before the client does, so that `failed` is known when an answer ends. */
  around(connect: buildConnector.connector): buildConnector.connector {
    return (options, callback) =>
      connect(options, (...result) => {
        // The library passes an error alone, whatever its type says.
        if (result[0] === null) {
          this.#follow(result[1]);
        }
        callback(...result);
      });
  }

  #follow(socket: Socket): void {
    this.failed = false;
    this.endsAnswer = false;
    this.#reading = new ReadHold(socket);
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

/** The decorator of the library, whose type names no methods. */
const Decorator = DecoratorHandler as unknown as new (
  handler: Dispatcher.DispatchHandler,
) => AnswerHandler;

/**
 * Fails an answer without a length whose connection broke. The library takes a reset for the end of such
 * an answer; its caller would get a part, told as whole.
 */
class WholeAnswer extends Decorator {
  readonly #watch: SocketWatch;
  #controller: HoldingController | undefined;

  constructor(handler: Dispatcher.DispatchHandler, watch: SocketWatch) {
    super(handler);
    this.#watch = watch;
  }

  override onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    super.onRequestStart(this.#holding(controller), context);
  }

  override onResponseStart(
    ...[controller, status, headers, reason]: Parameters<
      AnswerHandler["onResponseStart"]
    >
  ): void {
    if (status < FIRST_FINAL_STATUS) {
      // The library's decorator takes one head an answer, and nobody here wants an interim one.
      return;
    }
    this.#watch.endsAnswer = !isFramed(headers);
    super.onResponseStart(this.#holding(controller), status, headers, reason);
  }

  override onResponseData(
    controller: Dispatcher.DispatchController,
    chunk: Buffer,
  ): void {
    super.onResponseData(this.#holding(controller), chunk);
  }

  override onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: IncomingHttpHeaders,
  ): void {
    const { endsAnswer, failed } = this.#watch;
    const holding = this.#holding(controller);
    holding.end();
    this.#watch.endsAnswer = false;
    if (endsAnswer && failed) {
      super.onResponseError(holding, new Error("Answer was cut off"));
    } else {
      super.onResponseEnd(holding, trailers);
    }
  }

  override onResponseError(
    controller: Dispatcher.DispatchController,
    error: Error,
  ): void {
    const holding = this.#holding(controller);
    holding.end();
    super.onResponseError(holding, error);
  }

  #holding(controller: Dispatcher.DispatchController): HoldingController {
    this.#controller ??= new HoldingController(controller, this.#watch);
    return this.#controller;
  }
}

/** One connection at a time, one request at a time on it. */
export class WatchedClient extends Client {
  readonly #watch: SocketWatch;

  constructor(
    origin: string | URL,
    { connect, ...options }: Client.Options & {
      connect: buildConnector.connector;
    },
  ) {
    const watch = new SocketWatch();
    super(origin, { ...options, connect: watch.around(connect) });
    this.#watch = watch;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, new WholeAnswer(handler, this.#watch));
  }
}

/** Kept connections, one request at a time on each. */
export function createWatchedAgent(
  { connections, connectTimeout, ...options }: Client.Options & {
    /** Connections to one origin. */
    connections: number;
    /** In milliseconds. */
    connectTimeout: number;
  },
): Agent {
  return new Agent({
    factory: (origin) =>
      new Pool(origin, {
        connections,
        factory: (url) =>
          new WatchedClient(url, {
            ...options,
            pipelining: 1,
            connect: createConnector(connectTimeout),
          }),
      }),
  });
}

/** Connects so that a reset can be told from an end. */
export function createConnector(
  timeout: number,
): buildConnector.connector {
  // Our side stays open when the other one ends, see `isReset`; the client closes it.
  return buildConnector({ timeout, allowHalfOpen: true });
}

/** Whether a body says where it ends. */
function isFramed(headers: IncomingHttpHeaders): boolean {
  return headers["content-length"] !== undefined ||
    /\bchunked\s*$/i.test(String(headers["transfer-encoding"]));
}
