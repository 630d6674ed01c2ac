/**
 * Retry times of refused callers: in the order in which they were refused, and no faster than room frees up.
 *
 * @module
 */
import {
  after,
  type Instant,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";

/** Share of its remaining time for which a caller honours its retry time. */
export const MAX_HONOURED_SHARE = 1 / 3;
/** Shortest retry time: a caller needs about this long for a new connection, and little frees up in less. */
const MIN_RETURN_MS = 100;
/** A caller that is this much late has left, or has returned to another entry that counted it. */
const BOOKING_GRACE_MS = 400;
/** Longest retry time. */
const MAX_RETURN_MS = 10_000;

/** A refused request. */
export interface ReturnRequest {
  readonly rank: number;
  readonly units: number;
  /** Time until the request has to be sent to be on time. */
  readonly timeUntilLate: number;
  /** Time until the room ahead of it frees up. */
  readonly roomIn: number;
  /** This entry's part of the region's free rate for the rank, in units per millisecond. */
  readonly rate: number;
  readonly timeLeft: number;
}

interface Booking {
  readonly rank: number;
  readonly units: number;
  readonly dueAt: Instant;
  /** Whether the request will be late when it returns, so that it goes behind all that can be on time. */
  readonly late: boolean;
}

/** The retry times that this entry gave for one service. */
export class ReturnSchedule {
  #bookings: Booking[] = [];
  /** When the room after the last booked return begins, by rank and lateness. */
  readonly #freeAt = new Map<string, Instant>();

  /** Returns the retry time, and books the return if its caller will honour that time. */
  book(
    { rank, units, timeUntilLate, roomIn, rate, timeLeft }: ReturnRequest,
    now: Instant,
  ): Milliseconds {
    const late = roomIn > timeUntilLate;
    const key = `${rank} ${late}`;
    const freeIn = Math.max(roomIn, (this.#freeAt.get(key) ?? now) - now);
    const retryAfter = Math.min(MAX_RETURN_MS, Math.max(MIN_RETURN_MS, freeIn));
    if (retryAfter <= timeLeft * MAX_HONOURED_SHARE && rate > 0) {
      const dueAt = after(now, retryAfter);
      this.#bookings.push({ rank, units, dueAt, late });
      this.#freeAt.set(
        key,
        after(dueAt, Math.min(MAX_RETURN_MS, units / rate)),
      );
    }
    return milliseconds(retryAfter);
  }

  /** Removes the booking of a caller that has returned; any of its rank, because callers choose entries at random. */
  settle(rank: number): void {
    const index = this.#bookings.findIndex((booking) => booking.rank === rank);
    if (index >= 0) {
      this.#bookings.splice(index, 1);
    }
  }

  /** Work of returns that are due before `until` and go before a new request. */
  unitsBefore(
    { rank, late }: { rank: number; late: boolean },
    until: Instant,
  ): number {
    return this.#bookings.reduce((sum, booking) => {
      const goesBefore = booking.late === late ? booking.rank <= rank : late;
      return goesBefore && booking.dueAt <= until ? sum + booking.units : sum;
    }, 0);
  }

  /** Number of returns that are expected. */
  get size(): number {
    return this.#bookings.length;
  }

  expire(now: Instant): void {
    if (this.#bookings.length > 0) {
      this.#bookings = this.#bookings.filter(({ dueAt }) =>
        now - dueAt <= BOOKING_GRACE_MS
      );
    }
  }
}
