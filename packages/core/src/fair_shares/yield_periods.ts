/**
 * Bounds for how long endpoints with room are left to requests of other entries.
 *
 * @module
 */
import type { Instant, ServiceId } from "../ids/index.ts";

/**
 * Longest time for which endpoints with room are left to others that wait at other entries. If they have room all the
 * while, those others can't use it.
 */
export const MAX_YIELD_MS = 250;
/** Requests are tried at least this often. After a longer gap it isn't known whether endpoints had room all the while. */
const MAX_TRIAL_GAP_MS = 100;

/** Since when room was left to others without a break. */
interface YieldPeriod {
  readonly since: Instant;
  lastAt: Instant;
}

/** Tells whether endpoints of a service may still be left to others. */
export class YieldPeriods {
  readonly #periods = new Map<ServiceId, YieldPeriod>();

  /** Whether a request leaves room to others. After `MAX_YIELD_MS` of room without a break, one doesn't. */
  mayYield(service: ServiceId, now: Instant): boolean {
    const period = this.#periods.get(service);
    if (period === undefined || now - period.lastAt > MAX_TRIAL_GAP_MS) {
      this.#periods.set(service, { since: now, lastAt: now });
      return true;
    }
    period.lastAt = now;
    if (now - period.since < MAX_YIELD_MS) {
      return true;
    }
    this.#periods.delete(service);
    return false;
  }

  /** Notes that endpoints of a service had no room for a request. */
  noteBusy(service: ServiceId): void {
    this.#periods.delete(service);
  }
}
