/**
 * Stand-in for a plain service, such as badge printing or a wallet. It counts runs by idempotency key and
 * fails according to its mode.
 *
 * Control: `PUT /control/mode` sets the behaviour, `PUT /control/drain` starts draining, `GET /control/runs`
 * returns the counters.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { H3 } from "h3";
import { readJson, type StandIn, StandInServer } from "./stand_in.ts";

/**
 * What the service does with a call.
 * - `normal`: runs and answers.
 * - `refuse`: answers 503 without running.
 * - `fail`: runs, then answers 500.
 * - `reset_before`: resets the connection without running.
 * - `reset_after`: runs, then resets the connection.
 * - `hang_before`: neither runs nor answers.
 * - `hang_after`: runs but never answers.
 */
export type PlainMode =
  | "normal"
  | "refuse"
  | "fail"
  | "reset_before"
  | "reset_after"
  | "hang_before"
  | "hang_after";

/** How a plain service behaves. */
export interface PlainBehaviour {
  readonly mode: PlainMode;
  /** Delay between a call and its run, in milliseconds. */
  readonly delayMs: number;
}

const SLOTS = 16;
const NO_KEY = "none";

/** HTTP server that counts calls and runs. */
export class PlainService implements StandIn {
  readonly #server: StandInServer;
  readonly #runs = new Map<string, number>();
  #behaviour: PlainBehaviour;
  #calls = 0;
  #running = 0;
  #draining = false;
  #callsAfterDrain = 0;

  constructor(behaviour: Partial<PlainBehaviour> = {}) {
    this.#behaviour = { mode: "normal", delayMs: 0, ...behaviour };
    const app = new H3();
    app.get("/v1/load", () => this.#reportLoad());
    app.put("/control/mode", async ({ req }) => {
      this.#behaviour = {
        mode: "normal",
        delayMs: 0,
        ...await readJson<Partial<PlainBehaviour>>(req),
      };
      return {};
    });
    app.put("/control/drain", () => {
      this.#draining = true;
      return {};
    });
    app.get("/control/runs", () => this.state());
    this.#server = new StandInServer(
      app,
      (message, reply) => this.#handle(message, reply),
    );
  }

  start(): Promise<string> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }

  /** Returns the counters. */
  state(): {
    calls: number;
    after_drain: number;
    runs: Record<string, number>;
  } {
    return {
      calls: this.#calls,
      after_drain: this.#callsAfterDrain,
      runs: Object.fromEntries(this.#runs),
    };
  }

  #reportLoad(): object {
    return {
      age_ms: 0,
      running: this.#running,
      slots: SLOTS,
      hold_ms: 20,
      draining: this.#draining,
    };
  }

  #handle(message: IncomingMessage, reply: ServerResponse): boolean {
    if (message.url === "/v1/load" || message.url!.startsWith("/control/")) {
      return false;
    }
    void this.#call(message, reply).catch(() => reply.destroy());
    return true;
  }

  async #call(message: IncomingMessage, reply: ServerResponse): Promise<void> {
    this.#calls++;
    this.#callsAfterDrain += this.#draining ? 1 : 0;
    this.#running++;
    try {
      await drainBody(message);
      await this.#applyMode(message, reply);
    } finally {
      this.#running--;
    }
  }

  async #applyMode(
    message: IncomingMessage,
    reply: ServerResponse,
  ): Promise<void> {
    const { mode, delayMs } = this.#behaviour;
    const key = String(message.headers["idempotency-key"] ?? NO_KEY);
    if (mode === "refuse") {
      reply.writeHead(503, { "retry-after": "1" }).end("busy\n");
      return;
    }
    if (mode === "reset_before") {
      reply.destroy();
      return;
    }
    if (mode === "hang_before") {
      return;
    }
    if (delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
    this.#runs.set(key, (this.#runs.get(key) ?? 0) + 1);
    this.#respond(reply, { mode, key, path: message.url! });
  }

  #respond(
    reply: ServerResponse,
    { mode, key, path }: { mode: PlainMode; key: string; path: string },
  ): void {
    if (mode === "reset_after") {
      reply.destroy();
    } else if (mode === "fail") {
      reply.writeHead(500).end("failed\n");
    } else if (mode === "normal") {
      reply.writeHead(200, { "content-type": "application/json" });
      reply.end(JSON.stringify({ done: path, key, run: this.#runs.get(key) }));
    }
  }
}

async function drainBody(message: IncomingMessage): Promise<void> {
  for await (const _ of message) {
    // Consumes the whole body, as a real service would.
  }
}
