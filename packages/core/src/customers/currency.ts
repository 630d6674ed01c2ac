/**
 * How long ago the operators' document was known to be the newest one.
 *
 * A key that was taken away must open nothing a few seconds later, on an entry that cannot ask as well. So
 * what an entry knows of keys is a lease: it runs from the moment at which a read was *sent* whose answer
 * told the present state. What an open connection, a waiting watch or the arrival of an answer suggest is
 * younger than the truth and counts for nothing.
 *
 * @module
 */
import type { Instant, Milliseconds, Revision } from "../ids/index.ts";
import { milliseconds } from "../ids/index.ts";

declare const MARK: unique symbol;
/** A reading of the clock that runs on while the machine is suspended. */
export type CurrencyMark = number & { readonly [MARK]: true };

/** Proof that a version was the newest one at a moment. */
export interface CurrencyProof {
  readonly version: Revision;
  readonly at: CurrencyMark;
}

/** What others see of it. */
export interface CurrencyView {
  mark(now: Instant): CurrencyMark;
  age(now: Instant): Milliseconds;
  isWithin(bound: Milliseconds, now: Instant): boolean;
  isProvenSince(since: Instant, now: Instant): boolean;
}

/** The lease. */
export class Currency implements CurrencyView {
  /** Time that this process's clock did not count. */
  #slept = 0;
  #version = 0 as Revision;
  #provenAt = -Infinity;
  /** Proof for a version that this entry does not hold yet. */
  #ahead: CurrencyProof | undefined;
  /** Readings of before prove nothing any more. */
  #validFrom = -Infinity;

  /** The machine was suspended, and the clock stood still. */
  slept(time: Milliseconds): void {
    this.#slept += time;
  }

  /** To be taken when a question is sent, so that its answer can be dated. */
  mark(now: Instant): CurrencyMark {
    return now + this.#slept as CurrencyMark;
  }

  /**
   * The platform was restored from a copy, as was just noticed. For so long its newest document may not be
   * the newest one that it has acknowledged.
   */
  doubt(time: Milliseconds, now: Instant): void {
    this.#validFrom = Math.max(this.#validFrom, this.mark(now) + time);
  }

  /** This entry holds a document; it never goes back to an older one. */
  hold(version: Revision): void {
    this.#version = version;
    if (this.#ahead !== undefined) {
      this.prove(this.#ahead);
    }
  }

  /** A version was the newest at a moment: so what this entry holds, if it is no older, was too. */
  prove(proof: CurrencyProof): void {
    if (proof.at < this.#validFrom) {
      return;
    }
    if (proof.version > this.#version) {
      this.#ahead = proof.at > (this.#ahead?.at ?? -Infinity)
        ? proof
        : this.#ahead;
      return;
    }
    this.#provenAt = Math.max(this.#provenAt, proof.at);
    if (this.#ahead !== undefined && this.#ahead.version <= this.#version) {
      this.#provenAt = Math.max(this.#provenAt, this.#ahead.at);
      this.#ahead = undefined;
    }
  }

  /** Since what is held was known to be the newest, without an end where it never was. */
  age(now: Instant): Milliseconds {
    return milliseconds(this.mark(now) - this.#provenAt);
  }

  isWithin(bound: Milliseconds, now: Instant): boolean {
    return this.age(now) <= bound;
  }

  /** Whether it was known to be the newest at an instant or later. */
  isProvenSince(since: Instant, now: Instant): boolean {
    return this.age(now) <= now - since;
  }
}
