/**
 * Stand-in for the weight store, which limits the number of loads per minute.
 *
 * @module
 */
import { H3 } from "h3";
import { type StandIn, StandInServer } from "./stand_in.ts";

const MINUTE_MS = 60_000;

/** Serves model weights, and answers 429 above the limit. */
export class WeightStore implements StandIn {
  readonly #server: StandInServer;
  readonly #loadsPerMinute: number;
  #recentLoadTimes: number[] = [];
  #served = 0;
  #refused = 0;

  constructor({ perMinute = 60 }: { perMinute?: number } = {}) {
    this.#loadsPerMinute = perMinute;
    const app = new H3();
    app.get("/v1/weights/:model", () => this.#load());
    app.get(
      "/control/loads",
      () => ({ served: this.#served, refused: this.#refused }),
    );
    this.#server = new StandInServer(app);
  }

  start(): Promise<string> {
    return this.#server.start();
  }

  stop(): Promise<void> {
    return this.#server.stop();
  }

  get refused(): number {
    return this.#refused;
  }

  #load(): Response {
    const now = performance.now();
    this.#recentLoadTimes = this.#recentLoadTimes.filter((at) =>
      now - at < MINUTE_MS
    );
    if (this.#recentLoadTimes.length >= this.#loadsPerMinute) {
      this.#refused++;
      return new Response("too many loads\n", { status: 429 });
    }
    this.#recentLoadTimes.push(now);
    this.#served++;
    return new Response("weights\n");
  }
}
