/**
 * The situations to measure, at the present sizes of the example deployment.
 *
 * @module
 */
import type { Fleet } from "../fleet/index.ts";
import type { EngineOptions } from "../stand_ins/index.ts";
import type { LoadShape } from "./load.ts";

/** A situation in which balancers are compared. */
export interface MeasuredCase {
  readonly name: string;
  readonly objective: "tail" | "cost";
  readonly engine: Partial<EngineOptions>;
  readonly shape: LoadShape;
  /** Changes the fleet in the middle of the load. */
  readonly halfway?: (fleet: Fleet) => Promise<void>;
}

const REGION = "atlanta";
const ENGINE_OPTIONS: Partial<EngineOptions> = {
  slots: 4,
  prefillRate: 3_000,
  decodeMs: 5,
  cacheBlocks: 160,
};
const LOAD_SHAPE: LoadShape = {
  seed: 7,
  seconds: 8,
  perSecond: 36,
  tenants: 30,
  customers: [{ id: "clinic-north", share: 0.7 }, {
    id: "church-hall",
    share: 0.3,
  }],
};

/** All measured situations. */
export const CASES: readonly MeasuredCase[] = [
  {
    name: "morning rush",
    objective: "tail",
    engine: ENGINE_OPTIONS,
    shape: LOAD_SHAPE,
  },
  {
    name: "morning rush, cost first",
    objective: "cost",
    engine: ENGINE_OPTIONS,
    shape: LOAD_SHAPE,
  },
  {
    name: "reports late by 2 s",
    objective: "tail",
    engine: { ...ENGINE_OPTIONS, loadLagMs: 2_000 },
    shape: LOAD_SHAPE,
  },
  {
    name: "an endpoint is lost",
    objective: "tail",
    engine: ENGINE_OPTIONS,
    shape: LOAD_SHAPE,
    halfway: killEndpoint,
  },
  {
    name: "a zone's endpoints are lost",
    objective: "tail",
    engine: ENGINE_OPTIONS,
    shape: LOAD_SHAPE,
    halfway: killZoneEndpoints,
  },
  {
    name: "caches turn cold",
    objective: "tail",
    engine: ENGINE_OPTIONS,
    shape: LOAD_SHAPE,
    halfway: clearCaches,
  },
  {
    name: "overload",
    objective: "tail",
    engine: ENGINE_OPTIONS,
    shape: { ...LOAD_SHAPE, perSecond: 75 },
  },
];

async function killEndpoint(fleet: Fleet): Promise<void> {
  const engine = fleet.standInsOfKind("engine").find(({ region }) =>
    region === REGION
  )!;
  await engine.child.kill();
}

async function killZoneEndpoints(fleet: Fleet): Promise<void> {
  const engines = fleet.standInsOfKind("engine").filter(({ zone }) =>
    zone === `${REGION}-b`
  );
  await Promise.all(engines.map(({ child }) => child.kill()));
}

async function clearCaches(fleet: Fleet): Promise<void> {
  const engines = fleet.standInsOfKind("engine").filter(({ region }) =>
    region === REGION
  );
  await Promise.all(engines.map(({ id }) => fleet.putControl(id, "cold", {})));
}
