/**
 * An endpoint on raw sockets that answers each request with given bytes, possibly before it has read the body.
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
import { HEADERS } from "@sassafrasstep/platform";

/** What follows the bytes of an answer. */
export type AnswerEnding =
  | "reset"
  /** This side of the connection is closed in order, the other stays open. */
  | "end"
  /** The connection stays open. */
  | "none";

/** How a request is answered. */
export interface BreakingScript {
  /** The answer, head included, as Latin-1. */
  readonly bytes: string;
  readonly ending: AnswerEnding;
  /** Whether the body of the request is read before the answer, and not left unread. */
  readonly readsBody: boolean;
}

const HEAD_END = "\r\n\r\n";
/** Not the address from which connections are opened. */
const HOST = "127.0.0.1";

/** Answers requests as scripted for their call. */
export class BreakingEndpoint {
  readonly id: string;
  /** Ids of the calls that arrived, in order. */
  readonly arrivals: string[] = [];
  readonly #script: (call: string) => BreakingScript;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server = createServer((socket) => this.#accept(socket));

  constructor(id: string, script: (call: string) => BreakingScript) {
    this.id = id;
    this.#script = script;
  }

  /** Starts listening; resolves with `host:port`. */
  async listen(): Promise<string> {
    this.#server.listen(0, HOST);
    await once(this.#server, "listening");
    return `${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
    await once(this.#server, "close");
  }

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let head = "";
    let length = 0;
    socket.on("data", (bytes) => {
      length += bytes.length;
      if (!head.includes(HEAD_END)) {
        head += bytes.toString("latin1");
      }
      const headEnd = head.indexOf(HEAD_END);
      if (headEnd < 0) {
        return;
      }
      const call = fieldOf(head, HEADERS.callId) ?? "";
      const script = this.#script(call);
      const bodyLength = Number(fieldOf(head, "content-length") ?? 0);
      const isRead = length >= headEnd + HEAD_END.length + bodyLength;
      if (script.readsBody && !isRead) {
        return;
      }
      if (!isRead) {
        socket.pause();
      }
      head = "";
      length = 0;
      this.arrivals.push(call);
      answer(socket, script);
    });
  }
}

function fieldOf(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: (.*)\r$`, "im").exec(head)?.[1];
}

function answer(socket: Socket, { bytes, ending }: BreakingScript): void {
  socket.write(bytes, "latin1");
  if (ending === "reset") {
    socket.resetAndDestroy();
  } else if (ending === "end") {
    socket.end();
  }
}
