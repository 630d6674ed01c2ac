/**
 * An endpoint or service that sends without end, until its connection is closed.
 *
 * @module
 */
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import type { AnswerContext, EndlessShape } from "./endless_shapes.ts";

const HEAD_END = "\r\n\r\n";
const BYTE_INTERVAL_MS = 1;

/** How one request is answered. */
export type ServedAnswer =
  | { readonly kind: "whole"; readonly text: string }
  /** Sends the text and resets the connection. */
  | { readonly kind: "broken"; readonly text: string }
  | {
    readonly kind: "endless";
    readonly shape: EndlessShape;
    readonly context: AnswerContext;
    /** As fast as the other side reads, or byte by byte. */
    readonly pace: "fast" | "bytes";
  };

/** Listens on loopback and gives each request the answer that `answer` returns for its text. */
export class EndlessServer {
  /** Bytes written without end. */
  sentBytes = 0;
  readonly #sockets = new Set<Socket>();
  readonly #answer: (request: string) => ServedAnswer;
  readonly #server: Server = createServer((socket) => this.#accept(socket));

  constructor(answer: (request: string) => ServedAnswer) {
    this.#answer = answer;
  }

  /** Starts listening; resolves with `host:port`. */
  async listen(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Closes all connections. */
  dropConnections(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  async close(): Promise<void> {
    this.dropConnections();
    this.#server.close();
    await once(this.#server, "close");
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let text = "";
    let endless = false;
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      const length = Number(/^content-length: (\d+)\r$/im.exec(text)?.[1] ?? 0);
      const headEnd = text.indexOf(HEAD_END);
      if (
        endless || headEnd < 0 ||
        text.length < headEnd + HEAD_END.length + length
      ) {
        return;
      }
      const answer = this.#answer(text);
      text = "";
      endless = answer.kind === "endless";
      this.#send(socket, answer);
    });
  }

  #send(socket: Socket, answer: ServedAnswer): void {
    if (answer.kind === "whole") {
      socket.write(answer.text);
    } else if (answer.kind === "broken") {
      socket.write(answer.text, () => setTimeout(() => socket.destroy(), 20));
    } else {
      socket.write(answer.shape.start(answer.context), "latin1");
      answer.pace === "fast"
        ? this.#sendFast(socket, answer, 0)
        : this.#sendBytes(socket, answer);
    }
  }

  #sendFast(
    socket: Socket,
    answer: Extract<ServedAnswer, { kind: "endless" }>,
    round: number,
  ): void {
    if (socket.destroyed) {
      return;
    }
    const text = answer.shape.more(answer.context, round);
    this.sentBytes += text.length;
    socket.write(
      text,
      "latin1",
      () => setImmediate(() => this.#sendFast(socket, answer, round + 1)),
    );
  }

  #sendBytes(
    socket: Socket,
    { shape, context }: Extract<ServedAnswer, { kind: "endless" }>,
  ): void {
    let round = 0;
    let text = "";
    const timer = setInterval(() => {
      if (text === "") {
        text = shape.more(context, round++);
      }
      socket.write(text.slice(0, 1), "latin1");
      this.sentBytes++;
      text = text.slice(1);
    }, BYTE_INTERVAL_MS);
    socket.once("close", () => clearInterval(timer));
  }
}
