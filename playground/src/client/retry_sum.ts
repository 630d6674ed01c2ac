/**
 * Check of the retries of all entries together, from what endpoints receive.
 *
 * @module
 */

/** How many retries a service may get from all entries together. */
export interface RetryLimits {
  readonly ratio: number;
  readonly slack: number;
  readonly windowMs: number;
}

/** A request that reached an endpoint, whether that ran it or not. */
export interface EndpointArrival {
  /** The caller's request, the same for all attempts. */
  readonly call: string;
  readonly at: number;
}

/** A window in which a service got more retries than its requests allow. */
export interface RetryExcess {
  readonly from: number;
  readonly retries: number;
  readonly allowed: number;
}

/**
 * Returns the window with the largest excess, `undefined` if all are within the limits. The requests of a window are
 * those of that window, of the one before it or of the one half a window earlier, whichever has most.
 */
export function findRetryExcess(
  { arrivals, requests }: {
    arrivals: readonly EndpointArrival[];
    /** When callers sent requests for the service, in any order. */
    requests: readonly number[];
  },
  { ratio, slack, windowMs }: RetryLimits,
): RetryExcess | undefined {
  const retries = retryTimes(arrivals);
  const sorted = requests.toSorted(ascending);
  const windows = retries.map((from) => {
    const within = countWithin(retries, from, from + windowMs);
    const base = Math.max(
      ...[0, windowMs / 2, windowMs].map((shift) =>
        countWithin(sorted, from - shift, from - shift + windowMs)
      ),
    );
    return { from, retries: within, allowed: ratio * base + slack };
  });
  return windows.filter(({ retries: found, allowed }) => found > allowed)
    .toSorted((left, right) =>
      right.retries - right.allowed - (left.retries - left.allowed)
    )[0];
}

/** When requests arrived beyond the first arrival of each, ascending. */
export function retryTimes(arrivals: readonly EndpointArrival[]): number[] {
  const seen = new Set<string>();
  return arrivals.toSorted((left, right) => left.at - right.at)
    .filter(({ call }) => {
      const isRetry = seen.has(call);
      seen.add(call);
      return isRetry;
    }).map(({ at }) => at);
}

/** Number of ascending times from `from` on and before `to`. */
function countWithin(
  times: readonly number[],
  from: number,
  to: number,
): number {
  return lowerBound(times, to) - lowerBound(times, from);
}

function lowerBound(times: readonly number[], value: number): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (times[middle]! < value) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}

function ascending(left: number, right: number): number {
  return left - right;
}
