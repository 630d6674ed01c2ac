/**
 * A TCP relay that can be interrupted, to simulate network partitions between real processes.
 *
 * @module
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Forwards connections to a port on loopback, unless it is interrupted. */
export class Relay {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #targetPort: number;
  #interrupted = false;
  #bytes = 0;

  constructor(targetUrl = "http://127.0.0.1:0") {
    this.#targetPort = Number(new URL(targetUrl).port);
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts listening on a free port and returns the base URL. */
  async start(): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(0, "127.0.0.1", resolve)
    );
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Sets the target of new connections, for a relay that is started before its target. */
  setTarget(targetUrl: string): void {
    this.#targetPort = Number(new URL(targetUrl).port);
  }

  /** Bytes forwarded in both directions. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Closes all open connections, and each new one at once, until `restore`. */
  interrupt(): void {
    this.#interrupted = true;
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /** Accepts connections again. */
  restore(): void {
    this.#interrupted = false;
  }

  async stop(): Promise<void> {
    this.interrupt();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #accept(socket: Socket): void {
    if (this.#interrupted) {
      socket.destroy();
      return;
    }
    const target = connect(this.#targetPort, "127.0.0.1");
    for (const [from, to] of [[socket, target], [target, socket]] as const) {
      this.#sockets.add(from);
      from.on("data", (chunk: Uint8Array) => {
        this.#bytes += chunk.length;
      });
      from.pipe(to);
      from.once("error", () => to.destroy());
      from.once("close", () => {
        this.#sockets.delete(from);
        to.destroy();
      });
    }
  }
}
