/**
 * Bodies that crash each endpoint that runs them, and what became of them.
 *
 * @module
 */
import type { FakeEndpoint } from "./endpoint_fakes.ts";
import type { World } from "./world.ts";

/** Such a body must be known for what it is this long after the third end. */
const SETTLE_MS = 6_000;
const ENDS_TO_KNOW = 3;

interface Poison {
  /** From the start of a run to its end. */
  readonly after: number;
  /** Until the endpoint runs again. */
  readonly down: number;
  readonly ends: number[];
  readonly arrivals: number[];
}

/** Keeps the bodies of a scenario. */
export class Poisons {
  readonly #world: World;
  readonly #poisons = new Map<string, Poison>();

  constructor(world: World) {
    this.#world = world;
  }

  add(body: string, { after, down }: { after: number; down: number }): void {
    this.#poisons.set(body, { after, down, ends: [], arrivals: [] });
  }

  /** A body reaches an endpoint; returns whether it crashes it, and calls `ended` when it has. */
  strikes(
    body: string,
    { endpoint, ended }: { endpoint: FakeEndpoint; ended: () => void },
  ): boolean {
    const poison = this.#poisons.get(body);
    if (poison === undefined) {
      return false;
    }
    const { time } = this.#world;
    poison.arrivals.push(time.now);
    time.after(poison.after, () => {
      if (!endpoint.dead) {
        poison.ends.push(time.now);
        this.#crash(endpoint, poison);
      }
      ended();
    });
    return true;
  }

  /** Sends of a body to endpoints later than it had to be known, and endpoints that it ended. */
  figures(body: string): { sends: number; ends: number } {
    const { ends, arrivals } = this.#poisons.get(body)!;
    const known = (ends[ENDS_TO_KNOW - 1] ?? Infinity) + SETTLE_MS;
    return {
      sends: arrivals.filter((at) => at > known).length,
      ends: ends.length,
    };
  }

  #crash(endpoint: FakeEndpoint, { down }: Poison): void {
    endpoint.dead = true;
    this.#world.publishVms();
    this.#world.time.after(down, () => {
      endpoint.dead = false;
      this.#world.publishVms();
    });
  }
}
