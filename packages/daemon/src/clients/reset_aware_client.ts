/**
 * An HTTP client that does not mistake a truncated answer for a complete one, an extra answer for that of the next
 * request, or an answer of another protocol for one of HTTP/1.
 *
 * @module
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { instant } from "@sassafrasstep/core";
import {
  Agent,
  buildConnector,
  Client,
  DecoratorHandler,
  type Dispatcher,
  Pool,
} from "undici";
import {
  isFramed,
  isReset,
  PausableReads,
  type VersionCheck,
  watchVersion,
} from "../sockets/index.ts";
import {
  type AnswerHead,
  isMergedHead,
  RequestName,
  UnprovedAnswerError,
} from "./answer_name.ts";
import { ConnectionReuse } from "./connection_reuse.ts";
import { PausingController } from "./pausing_controller.ts";

const FIRST_FINAL_STATUS = 200;

/** Monitors the current connection of a client. */
class ConnectionMonitor {
  /** Whether the current answer has no length, so that it ends with the connection. */
  endsAnswer = false;
  /** Whether the connection has failed. */
  failed = false;
  /** Whether the connection has carried an answer, so that an extra answer may follow. */
  used = false;
  #reads: PausableReads | undefined;
  #version: VersionCheck | undefined;
  #socket: Socket | undefined;

  /** Notes that a request is about to be sent. */
  beginAnswer(): void {
    this.#version?.reset();
  }

  /** Closes the connection, so that no further request uses it. */
  close(): void {
    this.#socket?.destroy();
  }

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
    this.used = false;
    this.#socket = socket;
    this.#reads = new PausableReads(socket);
    this.#version = watchVersion(socket);
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

/** What a handler needs besides the request's own handler. */
interface HandlerOptions {
  readonly monitor: ConnectionMonitor;
  readonly reuse: ConnectionReuse;
  readonly origin: string;
  /** The request's name; `undefined` if answers need not repeat it. */
  readonly name: RequestName | undefined;
}

/**
 * Fails an answer without a length if its connection broke. The library treats a reset as the end of such an
 * answer, so its caller would get a truncated answer as a complete one.
 *
 * Fails an answer that may belong to another request, and closes each connection whose answer did not name its
 * request.
 */
class ResetAwareHandler extends Decorator {
  readonly #monitor: ConnectionMonitor;
  readonly #reuse: ConnectionReuse;
  readonly #origin: string;
  readonly #name: RequestName | undefined;
  #controller: PausingController | undefined;
  #isNamed = false;

  constructor(
    handler: Dispatcher.DispatchHandler,
    { monitor, reuse, origin, name }: HandlerOptions,
  ) {
    super(handler);
    this.#monitor = monitor;
    this.#reuse = reuse;
    this.#origin = origin;
    this.#name = name;
  }

  override onRequestStart(
    controller: Dispatcher.DispatchController,
    context: unknown,
  ): void {
    this.#monitor.beginAnswer();
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
    if (!this.#isProved({ headers, reason })) {
      this.#reuse.recordUnproved(this.#origin, instant(performance.now()));
      controller.abort(new UnprovedAnswerError());
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
    this.#monitor.used = true;
    if (!this.#mayReuse()) {
      this.#monitor.close();
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

  /** Whether an answer is shown to belong to the request. The first one of a connection can't be an extra one. */
  #isProved(head: AnswerHead): boolean {
    if (this.#name === undefined) {
      return true;
    }
    const name = this.#name.readFrom(head);
    this.#isNamed = name === "own";
    return this.#monitor.used
      ? this.#isNamed && !isMergedHead(head)
      : name !== "other";
  }

  #mayReuse(): boolean {
    const now = instant(performance.now());
    return this.#name === undefined ||
      (this.#isNamed && this.#reuse.isAllowed(this.#origin, now));
  }

  #pausingController(
    controller: Dispatcher.DispatchController,
  ): PausingController {
    this.#controller ??= new PausingController(controller, this.#monitor);
    return this.#controller;
  }
}

/** Options of a `ResetAwareClient`. */
export interface ResetAwareOptions {
  /** Header in which requests name themselves, and answers the request that they belong to. */
  readonly nameHeader?: string | undefined;
  /** Shared by all clients of an agent. */
  readonly reuse?: ConnectionReuse;
}

/** A client with a single connection that fails truncated and extra answers, see `ResetAwareHandler`. */
export class ResetAwareClient extends Client {
  readonly #monitor: ConnectionMonitor;
  readonly #reuse: ConnectionReuse;
  readonly #origin: string;
  readonly #nameHeader: string | undefined;

  constructor(
    origin: string | URL,
    { connect, nameHeader, reuse, ...options }:
      & Client.Options
      & ResetAwareOptions
      & { connect: buildConnector.connector },
  ) {
    const monitor = new ConnectionMonitor();
    super(origin, { ...options, connect: monitor.wrapConnector(connect) });
    this.#monitor = monitor;
    this.#reuse = reuse ?? new ConnectionReuse();
    this.#origin = String(origin);
    this.#nameHeader = nameHeader;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const name = this.#nameHeader === undefined
      ? undefined
      : new RequestName(options, this.#nameHeader);
    return super.dispatch(
      options,
      new ResetAwareHandler(handler, {
        monitor: this.#monitor,
        reuse: this.#reuse,
        origin: this.#origin,
        name,
      }),
    );
  }
}

/**
 * Creates a pool of kept-alive connections without pipelining. With a `nameHeader`, a connection is used again
 * only after an answer that named its request.
 */
export function createResetAwareAgent(
  { connections, connectTimeout, ...options }: Client.Options & {
    /** Maximum number of connections to one origin. */
    connections: number;
    /** Timeout for a new connection, in milliseconds. */
    connectTimeout: number;
    nameHeader?: string;
  },
): Agent {
  // Outlives the pools, which the agent drops when their last connection closes.
  const reuse = new ConnectionReuse();
  return new Agent({
    factory: (origin) =>
      new Pool(origin, {
        connections,
        factory: (url) =>
          new ResetAwareClient(url, {
            ...options,
            reuse,
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
