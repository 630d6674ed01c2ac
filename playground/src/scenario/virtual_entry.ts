/**
 * An entry in virtual time: a core with its own clock, and a mailbox that queues events while it is frozen.
 *
 * @module
 */
import {
  Core,
  type CoreEvent,
  type Effect,
  type EntryId,
  type Incarnation,
  type Instant,
  instant,
  milliseconds,
  type RegionId,
  SeededRandomness,
  type ZoneId,
} from "@sassafrasstep/core";
import type { Spot } from "./network.ts";
import type { World } from "./world.ts";

const TICK_MS = 25;
/** Entries' clocks differ by up to this much, so that comparing times of two entries causes visible errors. */
const MAX_CLOCK_OFFSET_MS = 10_000_000;

/** Identity, location and random seed of an entry. */
export interface EntryOptions extends Spot {
  readonly id: string;
  readonly incarnation: string;
  readonly seed: number;
}

/** A simulated entry. */
export class VirtualEntry implements Spot {
  readonly id: string;
  readonly zone: string;
  readonly region: string;
  readonly incarnation: string;
  readonly core: Core;
  dead = false;
  frozen = false;
  readonly #world: World;
  readonly #clockOffset: number;
  #mailbox: (() => void)[] = [];
  #revision = 0;

  constructor(world: World, options: EntryOptions) {
    this.#world = world;
    this.id = options.id;
    this.zone = options.zone;
    this.region = options.region;
    this.incarnation = options.incarnation;
    const random = new SeededRandomness(options.seed);
    this.#clockOffset = Math.floor(random.next() * MAX_CLOCK_OFFSET_MS);
    this.core = new Core({
      self: {
        id: options.id as EntryId,
        incarnation: options.incarnation as Incarnation,
        zone: options.zone as ZoneId,
        region: options.region as RegionId,
        url: this.url,
        controlUrl: this.controlUrl,
        deployment: world.deploymentName,
        seeds: [],
        heartbeatPeriod: milliseconds(1_000),
        epochLength: milliseconds(world.epochLengthMs),
      },
      random,
    }, this.now());
    this.#tick();
  }

  get url(): string {
    return `http://${this.id}`;
  }

  get controlUrl(): string {
    return `http://${this.id}:control`;
  }

  /** Current time on the entry's own clock. */
  now(): Instant {
    return instant(this.#world.time.now + this.#clockOffset);
  }

  /** Runs a callback: at once, after a thaw if the entry is frozen, or never if it has crashed. */
  runWhenActive(run: () => void): void {
    if (this.dead) {
      return;
    }
    if (this.frozen) {
      this.#mailbox.push(run);
    } else {
      run();
    }
  }

  /** Sends an event to the core when the entry is active; the world applies the resulting effects. */
  sendEvent(event: CoreEvent): void {
    this.runWhenActive(() => this.#handle(event));
  }

  /** Handles an event immediately and returns its effects, which the world also applies. */
  handleNow(event: CoreEvent): readonly Effect[] {
    return this.#handle(event);
  }

  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    this.frozen = false;
    const pending = this.#mailbox;
    this.#mailbox = [];
    if (!this.dead) {
      this.#handle({ kind: "tick" });
    }
    pending.forEach((run) => this.runWhenActive(run));
  }

  #handle(event: CoreEvent): readonly Effect[] {
    const effects = this.core.handle(event, this.now());
    this.#checkRevision();
    effects.forEach((effect) => this.#world.applyEffect(this, effect));
    return effects;
  }

  #checkRevision(): void {
    const { revision } = this.core.board.configuration;
    this.#world.violations.checkRevision(this.#world.time.now, {
      entry: this.id,
      before: this.#revision,
      next: revision,
    });
    this.#revision = revision;
  }

  #tick(): void {
    if (this.dead) {
      return;
    }
    if (!this.frozen) {
      this.#handle({ kind: "tick" });
    }
    this.#world.time.after(TICK_MS, () => this.#tick());
  }
}
