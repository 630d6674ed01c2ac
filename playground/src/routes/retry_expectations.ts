/**
 * Check that all entries together make no more retries than allowed, and of the retries that they do make.
 *
 * @module
 */
import {
  type EndpointArrival,
  findRetryExcess,
  retryTimes,
} from "../client/retry_sum.ts";
import type { RouteWorld } from "./route_world.ts";

/** Describes each service that got more retries than its requests allow. */
export function checkRetries(world: RouteWorld): string[] {
  const { retryRatio, retrySlack, retryWindow } = world.bounds;
  const limits = {
    ratio: retryRatio,
    slack: retrySlack,
    windowMs: retryWindow,
  };
  return [...world.store.services.keys()].flatMap((service) => {
    const excess = findRetryExcess({
      arrivals: arrivalsAt(world, service),
      requests: requestsFor(world, service),
    }, limits);
    return excess === undefined ? [] : [
      `Service ${service} got ${excess.retries} retries from ${excess.from} on, ${excess.allowed} allowed`,
    ];
  });
}

/** Number of retries that a service got in a time span. */
export function countRetries(
  world: RouteWorld,
  { service, from, to }: { service: string; from: number; to: number },
): number {
  return retryTimes(arrivalsAt(world, service)).filter((at) =>
    at >= from && at < to
  ).length;
}

function arrivalsAt(
  { arrivals }: RouteWorld,
  service: string,
): EndpointArrival[] {
  return arrivals.filter((arrival) => arrival.service === service);
}

function requestsFor(world: RouteWorld, service: string): number[] {
  return [...world.calls.values()].filter(({ route }) =>
    world.store.routes.get(route)?.targets.some((target) =>
      target.service === service
    )
  ).map(({ sentAt }) => sentAt);
}
