/**
 * Copies of the outcomes of other entries' keys, kept for retries after the owner has ended. Their number and size
 * are limited. If a copy is missing, callers get a less certain verdict, but no action runs twice.
 *
 * @module
 */
import {
  after,
  type CustomerId,
  type IdempotencyKey,
  type Instant,
  type Milliseconds,
} from "../ids/index.ts";
import type { ActionOutcome, OutcomeCopy } from "../messages/index.ts";

const OUTCOME_OVERHEAD_BYTES = 512;

interface KeptCopy {
  readonly copy: OutcomeCopy;
  readonly expiresAt: Instant;
}

/** Copies of outcomes, with their total size. */
export class OutcomeCopies {
  readonly #copies = new Map<string, KeptCopy>();
  #bytes = 0;

  get size(): number {
    return this.#copies.size;
  }

  /** Approximate size of the kept answers in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  get(customer: CustomerId, key: IdempotencyKey): OutcomeCopy | undefined {
    return this.#copies.get(scopedKey(customer, key))?.copy;
  }

  /** Keeps a copy for the given time. Further copies of an outcome are ignored, since it never changes. */
  add(
    copy: OutcomeCopy,
    { keptFor, now }: { keptFor: Milliseconds; now: Instant },
  ): void {
    const id = scopedKey(copy.customer, copy.key);
    if (!this.#copies.has(id)) {
      this.#bytes += outcomeBytes(copy.outcome);
      this.#copies.set(id, { copy, expiresAt: after(now, keptFor) });
    }
  }

  /** Removes expired copies. */
  expire(now: Instant): void {
    for (const [id, { copy, expiresAt }] of this.#copies) {
      if (now >= expiresAt) {
        this.#bytes -= outcomeBytes(copy.outcome);
        this.#copies.delete(id);
      }
    }
  }
}

/** Returns an identifier that keeps equal keys of different customers apart. */
export function scopedKey(customer: CustomerId, key: IdempotencyKey): string {
  return `${customer}\n${key}`;
}

/** Returns the approximate memory that an outcome uses, in bytes. */
export function outcomeBytes(outcome: ActionOutcome | undefined): number {
  return outcome?.kind === "ran"
    ? OUTCOME_OVERHEAD_BYTES + outcome.answer.body.length
    : 0;
}
