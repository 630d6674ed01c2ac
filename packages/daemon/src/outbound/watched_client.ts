/**
 * A client that doesn't take a torn answer for a whole one.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import {
  type buildConnector,
  Client,
  DecoratorHandler,
  type Dispatcher,
} from "undici";
import { isReset } from "../sockets/index.ts";

/** What is seen of the connection that a client has now. */
class SocketWatch {
  /** Whether the answer under way ends with the connection. */
  endsAnswer = false;
  /** Whether the connection had an error. */
  failed = false;

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
    socket.on("error", () => this.failed = true);
    socket.on("end", () => this.failed ||= this.endsAnswer && isReset(socket));
  }
}

interface AnswerHandler {
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
    reason?: string,
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

  constructor(handler: Dispatcher.DispatchHandler, watch: SocketWatch) {
    super(handler);
    this.#watch = watch;
  }

  override onResponseStart(
    ...args: Parameters<AnswerHandler["onResponseStart"]>
  ): void {
    this.#watch.endsAnswer = !isFramed(args[2]);
    super.onResponseStart(...args);
  }

  override onResponseEnd(
    controller: Dispatcher.DispatchController,
    trailers: IncomingHttpHeaders,
  ): void {
    const { endsAnswer, failed } = this.#watch;
    this.#watch.endsAnswer = false;
    if (endsAnswer && failed) {
      super.onResponseError(controller, new Error("Answer was cut off"));
    } else {
      super.onResponseEnd(controller, trailers);
    }
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

/** Whether a body says where it ends. */
function isFramed(headers: IncomingHttpHeaders): boolean {
  return headers["content-length"] !== undefined ||
    /\bchunked\s*$/i.test(String(headers["transfer-encoding"]));
}
