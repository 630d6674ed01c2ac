/**
 * Slots of an engine and the queue of generations that wait for one, ordered by priority.
 *
 * @module
 */

/** A queued or running generation of one answer. */
export interface Generation {
  /** Smaller values start first. */
  readonly priority: number;
  run(): Promise<void>;
  /** Whether the caller has disconnected while waiting. */
  isGone(): boolean;
}

/** Runs at most `slots` generations at once. */
export class GenerationQueue {
  readonly #slots: number;
  readonly #waiting: Generation[] = [];
  #running = 0;

  constructor(slots: number) {
    this.#slots = slots;
  }

  get running(): number {
    return this.#running;
  }

  get waiting(): number {
    return this.#waiting.length;
  }

  add(generation: Generation): void {
    const index = this.#waiting.findIndex((other) =>
      other.priority > generation.priority
    );
    this.#waiting.splice(
      index < 0 ? this.#waiting.length : index,
      0,
      generation,
    );
    this.#startNext();
  }

  #startNext(): void {
    while (this.#running < this.#slots && this.#waiting.length > 0) {
      const next = this.#waiting.shift()!;
      if (!next.isGone()) {
        this.#start(next);
      }
    }
  }

  #start(generation: Generation): void {
    this.#running++;
    const end = (): void => {
      this.#running--;
      this.#startNext();
    };
    generation.run().then(end, end);
  }
}
