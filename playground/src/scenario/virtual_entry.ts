/**
 * One entry in virtual time: a core, a clock of its own, and a mailbox that fills while it is frozen.
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
/** Clocks of two entries differ by far, so that comparing them would show. */
const CLOCK_SPREAD_MS = 10_000_000;

/** How an entry is made. */
export interface EntryPlan extends Spot {
  readonly id: string;
  readonly incarnation: string;
  readonly seed: number;
}

/** A running entry. */
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

  constructor(world: World, plan: EntryPlan) {
    this.#world = world;
    this.id = plan.id;
    this.zone = plan.zone;
    this.region = plan.region;
    this.incarnation = plan.incarnation;
    const random = new SeededRandomness(plan.seed);
    this.#clockOffset = Math.floor(random.next() * CLOCK_SPREAD_MS);
    this.core = new Core({
      self: {
        id: plan.id as EntryId,
        incarnation: plan.incarnation as Incarnation,
        zone: plan.zone as ZoneId,
        region: plan.region as RegionId,
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

  /** The entry's own clock. */
  now(): Instant {
    return instant(this.#world.time.now + this.#clockOffset);
  }

  /** Delivers something: at once, after thawing, or never. */
  deliver(run: () => void): void {
    if (this.dead) {
      return;
    }
    if (this.frozen) {
      this.#mailbox.push(run);
    } else {
      run();
    }
  }

  /** Hands an event to the core and its effects to the world. */
  tell(event: CoreEvent): void {
    this.deliver(() => this.#handle(event));
  }

  /** Runs an event now and returns the effects, which are also carried out. */
  ask(event: CoreEvent): readonly Effect[] {
    return this.#handle(event);
  }

  freeze(): void {
    this.frozen = true;
  }

  thaw(): void {
    this.frozen = false;
    const waiting = this.#mailbox;
    this.#mailbox = [];
    if (!this.dead) {
      this.#handle({ kind: "tick" });
    }
    waiting.forEach((run) => this.deliver(run));
  }

  #handle(event: CoreEvent): readonly Effect[] {
    const effects = this.core.handle(event, this.now());
    this.#checkRevision();
    effects.forEach((effect) => this.#world.carryOut(this, effect));
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
