/**
 * Load balancers, which choose one of several endpoints. They share an interface, so that they can be
 * compared under the same load.
 *
 * @module
 */
import type { Endpoint } from "../blackboard/index.ts";
import { type Instant, type Randomness, rendezvous } from "../ids/index.ts";
import {
  estimateActive,
  estimateFirstToken,
  estimatePrefill,
  type PromptFacts,
  slotCount,
} from "./estimate.ts";

/** Chooses among the endpoints that may receive a request. */
export interface Balancer {
  readonly name: BalancerName;
  /** Returns one of `candidates`, which must not be empty. */
  choose(
    candidates: readonly Endpoint[],
    work: PromptFacts,
    now: Instant,
  ): Endpoint;
}

/** Names of the balancers in the settings. */
export type BalancerName =
  | "estimate"
  | "round_robin"
  | "least_in_flight"
  | "random_of_two";

/** Chooses the endpoints in turn. Serves as a baseline. */
export class RoundRobin implements Balancer {
  readonly name = "round_robin";
  #counter = 0;

  choose(candidates: readonly Endpoint[]): Endpoint {
    this.#counter++;
    return candidates[this.#counter % candidates.length]!;
  }
}

/** Chooses the endpoint with the fewest of this entry's own requests in flight. Serves as a baseline. */
export class LeastInFlight implements Balancer {
  readonly name = "least_in_flight";

  choose(candidates: readonly Endpoint[]): Endpoint {
    return minBy(candidates, (endpoint) => endpoint.inFlight.size);
  }
}

/** Chooses the less loaded of two random endpoints. Serves as a baseline. */
export class RandomOfTwo implements Balancer {
  readonly name = "random_of_two";
  readonly #random: Randomness;

  constructor(random: Randomness) {
    this.#random = random;
  }

  choose(candidates: readonly Endpoint[]): Endpoint {
    return minBy(pickTwo(candidates, this.#random), estimateActive);
  }
}

/** A preferred endpoint of a prefix is not considered if a larger share of its slots than this is in use. */
const AFFINITY_LOAD_LIMIT = 0.9;
/** Number of preferred endpoints of a prefix. */
const AFFINITY_CHOICES = 2;
/**
 * Weight of the prefill time that is added to the estimate. Prefill occupies a slot and delays requests
 * queued behind it, which the estimate for the request itself does not include. The added weight lowers both
 * tail latency and cost.
 */
const PREFILL_COST_WEIGHT = 1;

/**
 * Chooses the lowest estimated time to the first token among two random endpoints and the two preferred
 * endpoints of the prompt's prefix. Few endpoints are compared, so that entries with the same outdated
 * reports do not all send to the one endpoint that looked idle. The preferred endpoints of a prefix are
 * always the same two, so that entries share a prefix cache without coordination.
 */
export class EstimatedFirstToken implements Balancer {
  readonly name = "estimate";
  readonly #random: Randomness;

  constructor(random: Randomness) {
    this.#random = random;
  }

  choose(
    candidates: readonly Endpoint[],
    work: PromptFacts,
    now: Instant,
  ): Endpoint {
    const compared = [
      ...this.#preferred(candidates, work),
      ...pickTwo(candidates, this.#random),
    ];
    return minBy(
      compared,
      (endpoint) =>
        estimateFirstToken(endpoint, work, now) +
        PREFILL_COST_WEIGHT * estimatePrefill(endpoint, work, now),
    );
  }

  #preferred(candidates: readonly Endpoint[], work: PromptFacts): Endpoint[] {
    const prefix = work.blocks[0];
    if (prefix === undefined) {
      return [];
    }
    return rendezvous(
      `prefix ${prefix}`,
      candidates,
      (endpoint) => endpoint.vm.id,
    )
      .slice(0, AFFINITY_CHOICES)
      .filter((endpoint) =>
        estimateActive(endpoint) < slotCount(endpoint) * AFFINITY_LOAD_LIMIT
      );
  }
}

/** Creates the balancer with the given name. */
export function createBalancer(
  name: BalancerName,
  random: Randomness,
): Balancer {
  switch (name) {
    case "estimate":
      return new EstimatedFirstToken(random);
    case "round_robin":
      return new RoundRobin();
    case "least_in_flight":
      return new LeastInFlight();
    case "random_of_two":
      return new RandomOfTwo(random);
  }
}

function pickTwo(
  candidates: readonly Endpoint[],
  random: Randomness,
): Endpoint[] {
  const first = Math.floor(random.next() * candidates.length);
  const second = Math.floor(random.next() * candidates.length);
  return [candidates[first]!, candidates[second]!];
}

function minBy(
  candidates: readonly Endpoint[],
  scoreOf: (endpoint: Endpoint) => number,
): Endpoint {
  let best = candidates[0]!;
  let bestScore = scoreOf(best);
  for (const candidate of candidates.slice(1)) {
    const score = scoreOf(candidate);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}
