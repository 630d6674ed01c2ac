/**
 * Creates a core and drives it through the work to measure.
 *
 * @module
 */
import {
  Core,
  type EndpointId,
  type EntryId,
  type Incarnation,
  instant,
  milliseconds,
  type RegionId,
  type RequestHead,
  type RequestId,
  SeededRandomness,
  type ServiceRevision,
  sha256,
  type ZoneId,
} from "@sassafrasstep/core";
import {
  makeConfigurationText,
  makeReport,
  makeVms,
  TARGET_FLEET_SIZE,
} from "./made_fleet.ts";

/** Start time of a measured core. */
export const START_MS = 1_000_000;

/** Drives one streamed request through a core, from its head to its end. */
export function driveRequest(
  core: Core,
  { id, now }: { id: RequestId; now: number },
): void {
  const at = instant(now);
  const head: RequestHead = {
    id,
    tokenDigest: sha256("token-0"),
    service: "model-0",
    requestClass: undefined,
    deadline: milliseconds(10_000),
    key: undefined,
    hops: [],
    forwarded: false,
    resumeOffset: 0,
  };
  core.handle({ kind: "request", head }, at);
  const facts = {
    digest: "x",
    promptTokens: 500,
    blocks: [1, 2, 3, 4, 5, 6, 7],
  };
  for (const effect of core.handle({ kind: "body", request: id, facts }, at)) {
    if (effect.kind === "dispatch") {
      const attempt = effect.attempt.id;
      core.handle({ kind: "commit", attempt }, at);
      core.handle({ kind: "firstToken", attempt }, at);
      core.handle({ kind: "progress", attempt, offset: 300 }, at);
      core.handle(
        { kind: "attemptEnded", attempt, end: { kind: "streamed" } },
        at,
      );
    }
  }
}

/** Creates a core with a configuration of the target size, whose rate limits refuse nothing. */
export function makeCore(): Core {
  const core = new Core({
    self: {
      id: "entry-z0-0" as EntryId,
      incarnation: "0123456789abffff" as Incarnation,
      zone: "z0" as ZoneId,
      region: "r0" as RegionId,
      url: "http://10.1.0.0:7000",
      controlUrl: "http://10.1.0.0:7001",
      deployment: "made",
      seeds: [],
      heartbeatPeriod: milliseconds(1_000),
      epochLength: milliseconds(300_000),
    },
    random: new SeededRandomness(1),
  }, instant(START_MS));
  // With high limits the slope is the cost of served requests rather than of refused ones.
  const text = makeConfigurationText(TARGET_FLEET_SIZE).replaceAll(
    "requests_per_s = 100",
    "requests_per_s = 900000",
  );
  core.handle(
    { kind: "configurationRead", revision: 1 as ServiceRevision, text },
    instant(START_MS),
  );
  return core;
}

/** Adds endpoints to a core, each with one load report. */
export function listEndpoints(core: Core, endpoints: number): void {
  core.handle(
    { kind: "vmsListed", vms: makeVms(endpoints, 3) },
    instant(START_MS),
  );
  for (let index = 0; index < endpoints; index++) {
    const endpoint = `vm-0a1b2c3d4e5f${index}` as EndpointId;
    core.handle({
      kind: "load",
      endpoint,
      report: makeReport(`m${index % 5}@v1`),
    }, instant(START_MS));
  }
}
