import {
  type EndpointId,
  instant,
  milliseconds,
  type ServiceId,
  type ZoneId,
} from "../../index.ts";
import type { RoutedService } from "../../routes/index.ts";
import { EndpointState } from "../endpoint_state.ts";

/** A service of engines that fetch prefixes from each other. */
export const POOL: RoutedService = {
  id: "pool" as ServiceId,
  healthPath: "/",
  connectionLimit: 10,
  coldRate: 0,
  coldPeriod: milliseconds(0),
  engine: { slots: 64, cacheTokens: 200_000, fetches: true },
};

/** An engine of `POOL`, warm and idle. */
export function createEngine(
  name: string,
  { zone = "z1", softwareVersion = "v1" }: {
    zone?: string;
    softwareVersion?: string;
  } = {},
): EndpointState {
  return new EndpointState(
    {
      id: name as EndpointId,
      service: POOL.id,
      address: `${name}:1`,
      zone: zone as ZoneId,
      softwareVersion,
      slots: 64,
      state: "ready",
      coldFor: milliseconds(0),
      leavesIn: undefined,
      life: undefined,
      sequence: 1,
    },
    POOL,
    instant(0),
  );
}
