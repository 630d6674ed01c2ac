/**
 * Estimates how long ago a caller first sent a request, from the time that it states to have left.
 *
 * @module
 */
import {
  type Milliseconds,
  milliseconds,
  type RouteName,
} from "../ids/index.ts";

/** Routes that are remembered, many times what an entry serves at once. */
const MAX_ROUTES = 2_048;
/** Stated times of a route that are kept. */
const SAMPLES = 48;
/** Stated times that have to be known before ages are estimated. */
const MIN_SAMPLES = 8;
/** Samples between two evaluations. */
const EVALUATION_INTERVAL = 4;
/** A stated time is common if this share of all lies next to it. Returning callers state scattered times. */
const COMMON_SHARE = 0.25;
/** Relative distance within which stated times count as equal. */
const TOLERANCE = 0.01;
/**
 * Largest plausible age, as a share of the usual time. A caller that returns once has used no more than this, so
 * that a larger difference shows another kind of caller.
 */
const MAX_AGE_SHARE = 0.75;

interface RouteTimes {
  readonly samples: number[];
  next: number;
  sinceEvaluation: number;
  /** Common times, the largest first. */
  common: readonly number[];
}

/** Learns for each route what time its callers state at their first attempt. */
export class StatedTimes {
  readonly #routes = new Map<RouteName, RouteTimes>();

  /** Records the time that the caller of a request states. */
  record(route: RouteName, stated: Milliseconds | undefined): void {
    if (!isUsable(stated)) {
      return;
    }
    let times = this.#routes.get(route);
    if (times === undefined) {
      if (this.#routes.size >= MAX_ROUTES) {
        this.#routes.clear();
      }
      times = { samples: [], next: 0, sinceEvaluation: 0, common: [] };
      this.#routes.set(route, times);
    }
    times.samples[times.next] = stated;
    times.next = (times.next + 1) % SAMPLES;
    times.sinceEvaluation++;
    if (
      times.sinceEvaluation >= EVALUATION_INTERVAL &&
      times.samples.length >= MIN_SAMPLES
    ) {
      times.sinceEvaluation = 0;
      times.common = commonTimes(times.samples);
    }
  }

  /**
   * Time since the caller's first attempt, `undefined` where that cannot be told. 0 for a time that is common: callers
   * of several kinds may share a route.
   */
  ageOf(
    route: RouteName,
    stated: Milliseconds | undefined,
  ): Milliseconds | undefined {
    const common = this.#routes.get(route)?.common ?? [];
    const [usual] = common;
    if (usual === undefined || !isUsable(stated)) {
      return undefined;
    }
    if (stated >= usual || common.some((time) => isNear(stated, time))) {
      return milliseconds(0);
    }
    const age = usual - stated;
    return age <= usual * MAX_AGE_SHARE ? milliseconds(age) : undefined;
  }
}

function isUsable(stated: Milliseconds | undefined): stated is Milliseconds {
  return stated !== undefined && Number.isFinite(stated) && stated > 0;
}

function isNear(left: number, right: number): boolean {
  return Math.abs(left - right) <= TOLERANCE * right;
}

function commonTimes(samples: readonly number[]): number[] {
  const sorted = samples.toSorted((left, right) => right - left);
  const common: number[] = [];
  for (let first = 0, index = 0; index < sorted.length; index++) {
    while (!isNear(sorted[index]!, sorted[first]!)) {
      first++;
    }
    const isCommon = index - first + 1 >= sorted.length * COMMON_SHARE;
    if (isCommon && !common.some((time) => isNear(sorted[index]!, time))) {
      common.push(sorted[first]!);
    }
  }
  return common;
}
