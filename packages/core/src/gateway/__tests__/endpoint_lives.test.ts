import { beforeEach, describe, expect, it } from "vitest";
import {
  type AttemptId,
  type EndpointId,
  type EndpointLife,
  type EndpointRecord,
  type Incarnation,
  instant,
  ListenedTime,
  milliseconds,
  type RegionId,
  supersedes,
  type ZoneId,
} from "../../index.ts";
import { EndpointRegistry } from "../endpoint_registry.ts";
import { engine, POOL } from "./engine_fixture.ts";

const REGION = "r" as RegionId;
const PEER = "peer" as Incarnation;
const FORMER = 1_000 as EndpointLife;
const PRESENT = 2_000 as EndpointLife;
const PARTS = [{ id: "subject", tokens: 4_000 }];

function record(fields: Partial<EndpointRecord>): EndpointRecord {
  return { ...engine("e1").record, life: FORMER, ...fields };
}

describe("records of one endpoint", () => {
  it.each([
    [{ sequence: 3 }, { sequence: 2 }, true],
    [{ sequence: 2 }, { sequence: 2 }, true],
    [{ sequence: 1 }, { sequence: 2 }, false],
    [{ life: PRESENT, sequence: 1 }, { sequence: 90 }, true],
    [{ sequence: 91 }, { life: PRESENT, sequence: 1 }, false],
    [{ life: undefined, sequence: 91 }, { sequence: 1 }, false],
    [{ life: undefined, sequence: 1 }, { life: undefined, sequence: 2 }, false],
  ])("%o takes the place of %o: %s", (news, known, expected) => {
    expect(supersedes(record(news), record(known))).toBe(expected);
  });
});

describe("an endpoint that starts again under its id", () => {
  let published: Map<EndpointId, EndpointRecord>;
  let catalogue: {
    generation: number;
    evacuated: Set<ZoneId>;
    endpoints: Map<EndpointId, EndpointRecord>;
    document: unknown;
  };
  let book: EndpointRegistry;

  const publish = (fields: Partial<EndpointRecord>): void => {
    published.set("e1" as EndpointId, record(fields));
    catalogue.generation++;
    book.follow(instant(0));
  };
  const report = (life: EndpointLife): void =>
    book.learn(PEER, {
      partial: false,
      endpoints: [
        {
          endpoint: "e1" as EndpointId,
          life,
          prefill: 5,
          requests: 1,
          tokens: 7,
        },
      ],
      prefixes: [{ endpoint: "e1" as EndpointId, life, parts: PARTS }],
      arrivals: [],
      picture: 0,
    }, instant(1));
  const state = () => book.get("e1" as EndpointId)!;

  beforeEach(() => {
    published = new Map();
    catalogue = {
      generation: 0,
      evacuated: new Set(),
      endpoints: published,
      document: { services: new Map([[POOL.id, POOL]]) },
    };
    book = new EndpointRegistry({
      region: REGION,
      regionByZone: new Map([["z1" as ZoneId, REGION]]),
      catalogue: catalogue as never,
      listened: new ListenedTime(instant(0)),
      isLeaving: () => false,
      restOf: () => milliseconds(0),
    });
    publish({});
  });

  it("is known to hold nothing and to run nothing", () => {
    const former = state();
    former.prefixes.use(PARTS);
    former.begin("a" as AttemptId, { prefill: 9, tokens: 9 }, instant(0));
    former.health.note("broken", instant(0));
    former.health.note("broken", instant(0));
    publish({ life: PRESENT });
    expect(state()).not.toBe(former);
    expect(state().prefixes.cached(PARTS)).toBe(0);
    expect(state().requests).toBe(0);
    expect(book.accepts(state(), instant(1))).toBe(true);
    expect(book.hasStartedAgain(former)).toBe(true);
    expect(book.isOpen(former)).toBe(false);
  });

  /**
   * Symptom: an engine that was just started is thought to hold what it lost, and to be busy.
   * Sequence: it starts again; a peer that has not heard of it reports its work there.
   * Cause: reports named the endpoint, not the life.
   */
  it("is not burdened with what a peer says of the former life", () => {
    report(FORMER);
    expect(state().requests).toBe(1);
    publish({ life: PRESENT });
    report(FORMER);
    expect(state().requests).toBe(0);
    expect(state().prefixes.cached(PARTS)).toBe(0);
    report(PRESENT);
    expect(state().requests).toBe(1);
    expect(state().prefixes.cached(PARTS)).toBe(4_000);
    book.expire(instant(10_000));
    expect(state().requests).toBe(0);
  });

  it("is reported by a peer before its record is read", () => {
    report(PRESENT);
    expect(state().requests).toBe(0);
    publish({ life: PRESENT });
    expect(state().requests).toBe(1);
  });

  /**
   * Symptom: an endpoint that came back cold with its zone gets a full load and ends.
   * Sequence: its zone is taken back; the record written before that arrives once more, with no cold time.
   * Cause: it was believed.
   */
  it("stays in doubt after an evacuation until a record that was written later", () => {
    const service = {
      ...POOL,
      coldRate: 2,
      coldPeriod: milliseconds(3_000),
    };
    catalogue.document = { services: new Map([[POOL.id, service]]) };
    publish({ sequence: 5 });
    state().markPossiblyCold(instant(100));
    publish({ sequence: 6 });
    expect(state().isCold(instant(200))).toBe(true);
    publish({ sequence: 7 });
    expect(state().isCold(instant(200))).toBe(false);
  });
});
