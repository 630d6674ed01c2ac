import {
  type CallHead,
  type CallId,
  type Incarnation,
  milliseconds,
  type RegionId,
  type RequestId,
  type Revision,
  type RouteName,
  type ZoneId,
} from "../../index.ts";
import type { CatalogueSnapshot, Route } from "../../routes/index.ts";
import { createEngine, POOL } from "./engine_fixture.ts";
import { fingerprint } from "./quarantine_fixture.ts";

/** Availability zone and region of all entries and endpoints in these tests. */
export const ZONE = "z1" as ZoneId;
export const REGION = "r" as RegionId;
export const PEER = "b1" as Incarnation;
const ROUTE: Route = {
  name: "resume" as RouteName,
  host: "h",
  pathPrefix: "/r/",
  kind: "stream",
  targets: [{ service: POOL.id, weight: 1 }],
  attempts: 2,
  timeout: milliseconds(60_000),
  objective: milliseconds(1_000),
  pauseObjective: undefined,
  priority: 1,
  homes: [],
  sticky: false,
  public: false,
  resumable: true,
};
/** A catalogue with one streaming route and two engines. */
export const SNAPSHOT: CatalogueSnapshot = {
  revision: 1 as Revision,
  document: {
    version: 1 as Revision,
    routes: [ROUTE],
    services: new Map([[POOL.id, POOL]]),
    customers: new Map(),
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTime: milliseconds(1),
      idleTime: milliseconds(1),
    },
  },
  endpoints: [createEngine("e1").record, createEngine("e2").record],
  evacuated: [],
};
/** A request on that route. */
export const HEAD: CallHead = {
  id: "q" as RequestId,
  call: "q" as CallId,
  host: "h",
  target: "/r/x",
  timeLeft: undefined,
  prompt: {
    model: "m",
    promptTokens: 100,
    outputTokens: 100,
    outputHint: undefined,
    parts: [],
  },
  lastEventId: undefined,
  bodyBytes: 0,
  fingerprint: fingerprint("q"),
  relay: undefined,
};
