/**
 * Poison bodies: request bodies that crash every endpoint that runs them.
 *
 * @module
 */
import type { FakeEndpoint } from "./endpoint_fakes.ts";
import type { World } from "./world.ts";

/** Time after the third crash by which the gateway must have detected a poison body. */
const DETECTION_LIMIT_MS = 6_000;
const CRASHES_TO_DETECT = 3;

interface Poison {
  /** Time from the body's arrival to the crash. */
  readonly crashAfterMs: number;
  /** Time until the crashed endpoint runs again. */
  readonly downtimeMs: number;
  readonly crashTimes: number[];
  readonly arrivalTimes: number[];
}

/** Keeps a scenario's poison bodies and counts their arrivals and crashes. */
export class Poisons {
  readonly #world: World;
  readonly #poisons = new Map<string, Poison>();

  constructor(world: World) {
    this.#world = world;
  }

  add(
    body: string,
    { crashAfterMs, downtimeMs }: { crashAfterMs: number; downtimeMs: number },
  ): void {
    this.#poisons.set(body, {
      crashAfterMs,
      downtimeMs,
      crashTimes: [],
      arrivalTimes: [],
    });
  }

  /**
   * Records a body that arrives at an endpoint. Returns whether it is poison; `onRunEnd` is then called once
   * the endpoint has crashed.
   */
  handleArrival(
    body: string,
    { endpoint, onRunEnd }: { endpoint: FakeEndpoint; onRunEnd: () => void },
  ): boolean {
    const poison = this.#poisons.get(body);
    if (poison === undefined) {
      return false;
    }
    const { time } = this.#world;
    poison.arrivalTimes.push(time.now);
    time.after(poison.crashAfterMs, () => {
      if (!endpoint.dead) {
        poison.crashTimes.push(time.now);
        this.#crash(endpoint, poison);
      }
      onRunEnd();
    });
    return true;
  }

  /** Counts a body's sends to endpoints after its detection was due, and all crashes that it caused. */
  counts(body: string): { sends: number; crashes: number } {
    const { crashTimes, arrivalTimes } = this.#poisons.get(body)!;
    const detectionDeadline = (crashTimes[CRASHES_TO_DETECT - 1] ?? Infinity) +
      DETECTION_LIMIT_MS;
    return {
      sends: arrivalTimes.filter((at) => at > detectionDeadline).length,
      crashes: crashTimes.length,
    };
  }

  #crash(endpoint: FakeEndpoint, { downtimeMs }: Poison): void {
    endpoint.dead = true;
    this.#world.publishVms();
    this.#world.time.after(downtimeMs, () => {
      endpoint.dead = false;
      this.#world.publishVms();
    });
  }
}
