import {
  AUTOMATIC_FEATURES,
  type EntryId,
  Gateway,
  type Incarnation,
  instant,
  milliseconds,
  type RegionId,
  SeededRandomness,
  type ZoneId,
} from "../../index.ts";

/** Starts one entry in a zone, at instant 0. */
export function startGateway(
  { zone, region, isFirstStart = false }: {
    zone: ZoneId;
    region: RegionId;
    isFirstStart?: boolean;
  },
): Gateway {
  return new Gateway({
    self: {
      id: "a" as EntryId,
      incarnation: "a1" as Incarnation,
      zone,
      region,
      callerAddress: "a:2",
      peerAddress: "a:1",
      weight: 1,
      seeds: [],
      features: AUTOMATIC_FEATURES,
      isFirstStart,
      regionByZone: new Map([[zone, region]]),
      bounds: {
        retryRatio: 0.2,
        retryWindow: milliseconds(10_000),
        retrySlack: 50,
        coldOvershoot: 1.5,
        coldSlack: 3,
        listLifetime: milliseconds(1_000),
        stopTime: milliseconds(8_000),
      },
    },
    random: new SeededRandomness(1),
  }, instant(0));
}
