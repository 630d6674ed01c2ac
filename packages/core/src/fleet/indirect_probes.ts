/**
 * Pings that an entry sends on behalf of other entries.
 *
 * @module
 */

/** Beyond this number the oldest are dropped: a target that never answers must not be kept forever. */
const MAX_PENDING_PROBES = 64;

/** Address of the requesting entry, and the sequence number of its request. */
export interface IndirectProbe {
  readonly to: string;
  readonly sequence: number;
}

/** Pending indirect probes, by the sequence number of this entry's ping. */
export class IndirectProbes {
  readonly #bySequence = new Map<number, IndirectProbe>();

  add(sequence: number, probe: IndirectProbe): void {
    this.#bySequence.set(sequence, probe);
    if (this.#bySequence.size > MAX_PENDING_PROBES) {
      this.#bySequence.delete(this.#bySequence.keys().next().value!);
    }
  }

  /** Removes and returns the probe whose target has answered. */
  take(sequence: number): IndirectProbe | undefined {
    const probe = this.#bySequence.get(sequence);
    this.#bySequence.delete(sequence);
    return probe;
  }
}
