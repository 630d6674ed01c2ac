/**
 * A TCP path between two processes that can be cut in either direction, delayed and reset.
 *
 * @module
 */
import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { parseSocketAddress } from "@sassafrasstep/core";

/** Bytes that a cut link holds before its sender has to wait, about what the buffers of two sockets hold. */
const MAX_HELD_BYTES = 262_144;

/** Direction of the bytes on a link, as seen by the process that connects. */
export type LinkDirection = "out" | "in";

/** What crosses a link in order: bytes, the end of one side, or a reset. */
type Signal = Buffer | "end" | "reset";

/** One direction of one connection. */
class Lane {
  readonly #from: Socket;
  readonly #to: Socket;
  readonly #signals: { readonly signal: Signal; readonly due: number }[] = [];
  #heldBytes = 0;
  #isCut: boolean;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    from: Socket,
    to: Socket,
    { isCut, delayMs }: { isCut: boolean; delayMs: () => number },
  ) {
    this.#from = from;
    this.#to = to;
    this.#isCut = isCut;
    const add = (signal: Signal): void => {
      this.#signals.push({ signal, due: performance.now() + delayMs() });
      this.#forward();
    };
    from.on("data", (bytes) => {
      this.#heldBytes += bytes.length;
      if (this.#heldBytes > MAX_HELD_BYTES) {
        from.pause();
      }
      add(bytes);
    });
    from.on("end", () => add("end"));
    from.on("error", () => add("reset"));
  }

  cut(): void {
    this.#isCut = true;
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  heal(): void {
    this.#isCut = false;
    this.#forward();
  }

  #forward(): void {
    while (!this.#isCut && this.#timer === undefined) {
      const next = this.#signals[0];
      if (next === undefined) {
        return;
      }
      const wait = next.due - performance.now();
      if (wait > 0) {
        this.#timer = setTimeout(() => {
          this.#timer = undefined;
          this.#forward();
        }, wait);
        return;
      }
      this.#signals.shift();
      this.#deliver(next.signal);
    }
  }

  #deliver(signal: Signal): void {
    if (signal === "end") {
      this.#to.end();
    } else if (signal === "reset") {
      this.#to.resetAndDestroy();
    } else {
      this.#heldBytes -= signal.length;
      this.#to.write(signal);
      if (this.#heldBytes <= MAX_HELD_BYTES) {
        this.#from.resume();
      }
    }
  }
}

interface LinkedPair {
  readonly sockets: readonly Socket[];
  readonly lanes: Readonly<Record<LinkDirection, Lane>>;
}

/** Forwards connections to a target. Bytes sent during a cut arrive after it, as those that TCP sends again. */
export class TcpLink {
  readonly #target: string;
  readonly #delayMs: number;
  readonly #onConnect: (localPort: number) => void;
  readonly #watch: (() => (bytes: Buffer) => void) | undefined;
  readonly #pairs = new Set<LinkedPair>();
  readonly #cuts = { out: 0, in: 0 };
  #extraDelayMs = 0;
  readonly #server: Server = createServer(
    { allowHalfOpen: true, noDelay: true },
    (socket) => this.#accept(socket),
  );

  /**
   * @param options.delayMs One-way delay.
   * @param options.onConnect Receives the local port of each connection to the target, by which the target can tell who
   * connected.
   * @param options.watch Called for each connection; what it returns receives the bytes of both directions.
   */
  constructor(
    target: string,
    { delayMs = 0, onConnect = (): void => {}, watch }: {
      delayMs?: number;
      onConnect?: (localPort: number) => void;
      watch?: () => (bytes: Buffer) => void;
    } = {},
  ) {
    this.#target = target;
    this.#delayMs = delayMs;
    this.#onConnect = onConnect;
    this.#watch = watch;
  }

  /** Starts listening on a free port; resolves with `host:port`. */
  async listen(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Cuts the given directions. Cuts may overlap; each needs a `heal` of its own. */
  cut(directions: readonly LinkDirection[]): void {
    for (const direction of directions) {
      this.#cuts[direction]++;
      this.#pairs.forEach(({ lanes }) => lanes[direction].cut());
    }
  }

  heal(directions: readonly LinkDirection[]): void {
    for (const direction of directions) {
      this.#cuts[direction]--;
      if (this.#cuts[direction] === 0) {
        this.#pairs.forEach(({ lanes }) => lanes[direction].heal());
      }
    }
  }

  /** Adds to the one-way delay, or takes away from it. */
  addDelay(ms: number): void {
    this.#extraDelayMs += ms;
  }

  /** Resets all open connections, as a middlebox does that has lost its state. */
  reset(): void {
    for (const { sockets } of this.#pairs) {
      sockets.forEach((socket) => socket.resetAndDestroy());
    }
  }

  async close(): Promise<void> {
    this.reset();
    this.#server.close();
    await once(this.#server, "close");
  }

  #accept(caller: Socket): void {
    const address = parseSocketAddress(this.#target)!;
    const target = connect({ ...address, allowHalfOpen: true, noDelay: true });
    target.once("connect", () => this.#onConnect(target.localPort!));
    for (const socket of this.#watch === undefined ? [] : [caller, target]) {
      socket.on("data", this.#watch!());
    }
    const delayMs = (): number => this.#delayMs + this.#extraDelayMs;
    const lane = (
      from: Socket,
      to: Socket,
      direction: LinkDirection,
    ): Lane =>
      new Lane(from, to, { isCut: this.#cuts[direction] > 0, delayMs });
    const pair: LinkedPair = {
      sockets: [caller, target],
      lanes: {
        out: lane(caller, target, "out"),
        in: lane(target, caller, "in"),
      },
    };
    this.#pairs.add(pair);
    const forget = (): void => {
      if (caller.destroyed && target.destroyed) {
        this.#pairs.delete(pair);
      }
    };
    caller.on("close", forget);
    target.on("close", forget);
  }
}
