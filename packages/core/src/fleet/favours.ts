/**
 * Pings that an entry makes for others.
 *
 * @module
 */

/** Those that are remembered: a target that never answers must not be kept for good. */
const MOST = 64;

/** Who asked, and the number under which. */
export interface Favour {
  readonly to: string;
  readonly sequence: number;
}

/** Keeps favours by the number of the own ping. */
export class Favours {
  readonly #bySequence = new Map<number, Favour>();

  add(sequence: number, favour: Favour): void {
    this.#bySequence.set(sequence, favour);
    if (this.#bySequence.size > MOST) {
      this.#bySequence.delete(this.#bySequence.keys().next().value!);
    }
  }

  /** The target has answered; each favour is returned once. */
  take(sequence: number): Favour | undefined {
    const favour = this.#bySequence.get(sequence);
    this.#bySequence.delete(sequence);
    return favour;
  }
}
