/**
 * Tracks how recently the routing document held by this entry was confirmed as the newest one.
 *
 * A revoked key must stop working within seconds, also on an entry that has lost contact with the platform.
 * What an entry knows about keys is therefore a lease. It starts when a read is *sent* whose answer describes
 * the current state. An open connection, a pending watch or the arrival time of an answer are all later than
 * the state they describe, so none of them extends the lease.
 *
 * @module
 */
import type { Instant, Milliseconds, Revision } from "../ids/index.ts";
import { milliseconds } from "../ids/index.ts";

declare const MARK: unique symbol;
/** A clock reading that includes the time during which the machine was suspended. */
export type FreshnessMark = number & { readonly [MARK]: true };

/** Proof that a document version was the newest one at a given time. */
export interface FreshnessProof {
  readonly version: Revision;
  readonly at: FreshnessMark;
}

/** Read-only view of the lease. */
export interface FreshnessView {
  mark(now: Instant): FreshnessMark;
  age(now: Instant): Milliseconds;
  isWithin(bound: Milliseconds, now: Instant): boolean;
  isConfirmedSince(since: Instant, now: Instant): boolean;
}

/** The lease on the document that this entry holds. */
export class DocumentFreshness implements FreshnessView {
  /** Total time that the process clock missed while the machine was suspended. */
  #suspendedMs = 0;
  #version = 0 as Revision;
  #confirmedAt = -Infinity;
  /** Proof for a newer version that this entry does not hold yet. */
  #pendingProof: FreshnessProof | undefined;
  /** Proofs dated before this mark are ignored. */
  #rejectProofsBefore = -Infinity;

  /** Adds time during which the machine was suspended and the process clock stood still. */
  addSuspendedTime(duration: Milliseconds): void {
    this.#suspendedMs += duration;
  }

  /** Returns the mark to store when a read or question is sent, so that its answer can be dated. */
  mark(now: Instant): FreshnessMark {
    return now + this.#suspendedMs as FreshnessMark;
  }

  /**
   * Ignores proofs dated up to `duration` from now. Called when the platform turns out to have been restored
   * from a backup: until acknowledged writes are repeated, its newest document may be an outdated one.
   */
  rejectProofsFor(duration: Milliseconds, now: Instant): void {
    this.#rejectProofsBefore = Math.max(
      this.#rejectProofsBefore,
      this.mark(now) + duration,
    );
  }

  /** Records the document version that this entry holds. The version never decreases. */
  setHeldVersion(version: Revision): void {
    this.#version = version;
    if (this.#pendingProof !== undefined) {
      this.addProof(this.#pendingProof);
    }
  }

  /** Extends the lease if the held version is at least as new as the proven one; otherwise keeps the proof. */
  addProof(proof: FreshnessProof): void {
    if (proof.at < this.#rejectProofsBefore) {
      return;
    }
    if (proof.version > this.#version) {
      this.#pendingProof = proof.at > (this.#pendingProof?.at ?? -Infinity)
        ? proof
        : this.#pendingProof;
      return;
    }
    this.#confirmedAt = Math.max(this.#confirmedAt, proof.at);
    if (
      this.#pendingProof !== undefined &&
      this.#pendingProof.version <= this.#version
    ) {
      this.#confirmedAt = Math.max(this.#confirmedAt, this.#pendingProof.at);
      this.#pendingProof = undefined;
    }
  }

  /** Time since the held document was last confirmed as the newest, `Infinity` if it never was. */
  age(now: Instant): Milliseconds {
    return milliseconds(this.mark(now) - this.#confirmedAt);
  }

  isWithin(bound: Milliseconds, now: Instant): boolean {
    return this.age(now) <= bound;
  }

  /** Whether the held document was confirmed as the newest at `since` or later. */
  isConfirmedSince(since: Instant, now: Instant): boolean {
    return this.age(now) <= now - since;
  }
}
