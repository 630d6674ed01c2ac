import { describe, expect, it } from "vitest";
import {
  instant,
  milliseconds,
  type RegionId,
  type ZoneId,
} from "../../index.ts";
import { startGateway } from "./gateway_fixture.ts";

const ZONE = "z" as ZoneId;
const REGION = "r" as RegionId;
const QUESTION = { host: "h", region: REGION, zone: ZONE, caller: "c" };

describe("the directory", () => {
  // Guards against callers that keep lists for longer than the settings say, after these were changed.
  it("states the lifetime of lists by changed settings", () => {
    const gateway = startGateway({ zone: ZONE, region: REGION });
    gateway.handle({
      kind: "catalogueRead",
      snapshot: {
        revision: 1 as never,
        document: {
          version: 1 as never,
          routes: [],
          services: new Map(),
          customers: new Map(),
          limits: {} as never,
        },
        endpoints: [],
        evacuated: [],
      },
    }, instant(1_000));
    const lifetime = (): number | undefined =>
      gateway.nameEntries(QUESTION, instant(3_000))?.lifetime;
    expect(lifetime()).toBe(1_000);
    gateway.handle({
      kind: "rebound",
      bounds: { ...gateway.self.bounds, listLifetime: milliseconds(200) },
    }, instant(2_000));
    expect(lifetime()).toBe(200);
  });
});
