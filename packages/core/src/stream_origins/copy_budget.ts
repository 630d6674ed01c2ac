/**
 * Limits the bytes of the copies of records.
 *
 * @module
 */
import type { Instant } from "../ids/index.ts";

/** Leaves the other half of the control traffic of 4 KB/s that an entry may cause to everything else. */
const BYTES_PER_SECOND = 2_000;
const BURST_BYTES = 8_000;
/** Part of the burst for records that are sent one by one, instead of together at the next tick. */
const SINGLE_FRACTION = 0.5;
/** Size of a datagram without keys, and of a key. */
const MESSAGE_BYTES = 90;
const KEY_BYTES = 11;
const MS_PER_SECOND = 1_000;

/**
 * A token bucket of bytes. An entry with few streams sends each record at once; with more streams it collects those of
 * one tick, and at its limit those of several ticks.
 */
export class CopyBudget {
  #bytes = BURST_BYTES;
  #refilledAt: Instant;

  constructor(now: Instant) {
    this.#refilledAt = now;
  }

  /** Whether a single record may be sent at once. */
  allowsSingle(replicas: number, now: Instant): boolean {
    return this.allows({ keys: 1, replicas }, now) &&
      this.#bytes >= BURST_BYTES * (1 - SINGLE_FRACTION);
  }

  /** Whether there is room for a datagram with a number of keys to each replica. */
  allows(
    { keys, replicas }: { keys: number; replicas: number },
    now: Instant,
  ): boolean {
    const elapsed = now - this.#refilledAt;
    this.#refilledAt = now;
    this.#bytes = Math.min(
      BURST_BYTES,
      this.#bytes + elapsed * BYTES_PER_SECOND / MS_PER_SECOND,
    );
    return this.#bytes >= sizeOf(keys) * replicas;
  }

  /** Takes the bytes of a datagram that is sent to each replica. */
  take({ keys, replicas }: { keys: number; replicas: number }): void {
    this.#bytes -= sizeOf(keys) * replicas;
  }
}

function sizeOf(keys: number): number {
  return MESSAGE_BYTES + keys * KEY_BYTES;
}
