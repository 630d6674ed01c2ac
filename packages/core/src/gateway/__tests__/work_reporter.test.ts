import { beforeEach, describe, expect, it } from "vitest";
import {
  type AttemptId,
  type EndpointId,
  type FleetMessage,
  type FleetRecord,
  instant,
  ListenedTime,
  NO_POSITION,
  type PrefixNews,
  type RegionId,
  type WorkReport,
  type ZoneId,
} from "../../index.ts";
import type { EndpointRegistry } from "../endpoint_registry.ts";
import type { EndpointState } from "../endpoint_state.ts";
import { engine } from "./engine_fixture.ts";
import { WorkReporter } from "../work_reporter.ts";

const REGION = "r" as RegionId;
const LONG = 8_000;
const SUBJECT: PrefixNews = {
  endpoint: "e1" as EndpointId,
  life: undefined,
  parts: [{ id: "s", tokens: 4_000 }],
};
const GREETING: PrefixNews = {
  endpoint: "e1" as EndpointId,
  life: undefined,
  parts: [{ id: "g", tokens: 200 }],
};

/** A reporter in zone z1 of a region with an engine in each of its two zones. */
describe("an entry's reports of its work", () => {
  let near: EndpointState;
  let far: EndpointState;
  let open: Set<EndpointState>;
  let told: {
    zones: string[];
    report: WorkReport;
    standby: boolean;
    busy: boolean;
  }[];
  let reporter: WorkReporter;

  beforeEach(() => {
    near = engine("e1", "z1");
    far = engine("e2", "z2");
    open = new Set([near, far]);
    told = [];
    reporter = new WorkReporter({
      self: {
        region: REGION,
        zone: "z1" as ZoneId,
        regionByZone: new Map([
          ["z1" as ZoneId, REGION],
          ["z2" as ZoneId, REGION],
          ["z3" as ZoneId, "other" as RegionId],
        ]),
      },
      fleet: {
        live: () => [{ record: { region: REGION } }],
        mail: {
          sendWork: (
            report: WorkReport,
            isTold: (record: FleetRecord) => boolean,
          ) =>
            told.push({
              zones: ["z1", "z2", "z3"].filter((zone) =>
                isTold({ zone, incarnation: "carrier" } as never)
              ),
              report,
              standby: isTold({ zone: "z1", incarnation: "standby" } as never),
              busy: isTold({ zone: "z1", incarnation: "busy" } as never),
            }),
        },
      } as never,
      endpoints: {
        all: () => [near, far],
        isOpen: (state: EndpointState) => open.has(state),
        hasReport: (incarnation: string) => incarnation === "busy",
      } as unknown as EndpointRegistry,
      regions: { report: () => [] } as never,
      picture: () => 7,
      serving: {
        has: ({ incarnation }: FleetRecord) => incarnation === "carrier",
      } as never,
    });
    reporter.tick([], instant(0));
  });

  const begin = (state: EndpointState): void =>
    state.begin(
      `a${state.requests}` as AttemptId,
      { prefill: LONG, tokens: LONG },
      instant(20),
    );
  const zones = (): string[][] => told.map((item) => item.zones);

  it("go to all zones of the region first, to no other region", () => {
    expect(zones()).toEqual([["z1", "z2"]]);
  });

  /**
   * Symptom: most datagrams, and most bytes between zones, are work reports.
   * Sequence: each prompt at an engine of this zone was told to the entries of all zones at once.
   * Cause: entries choose among the engines of their own zone, the others did not act on it.
   */
  it("stay in the zone where they concern its engines alone", () => {
    begin(near);
    reporter.tick([], instant(25));
    expect(zones().at(-1)).toEqual(["z1"]);
  });

  /**
   * Symptom: of 91 entries each spends most of its time on the others' reports.
   * Sequence: a few of them carry the callers; each prompt they send is told to all.
   * Cause: entries without requests choose no engine, and were told of each prompt all the same.
   */
  it("go to those that carry, and once a second to those that stand by", () => {
    expect(told.at(-1)).toMatchObject({ standby: true, busy: true });
    begin(near);
    reporter.tick([], instant(25));
    expect(told.at(-1)).toMatchObject({ standby: false, busy: true });
    reporter.tick([], instant(500));
    expect(told.at(-1)).toMatchObject({ standby: false, busy: true });
    reporter.tick([], instant(1_000));
    expect(told.at(-1)).toMatchObject({ standby: true, busy: true });
  });

  it("go to the zone whose engine they are about", () => {
    begin(far);
    reporter.tick([], instant(25));
    expect(zones().at(-1)).toEqual(["z1", "z2"]);
  });

  /**
   * Symptom: an engine gets several prompts at once while another zone is evacuated.
   * Sequence: the entries of the empty zone choose among the engines of the other.
   * Cause: they do not hear what that zone's entries send there.
   */
  it("go to all zones while one has no engine that takes work", () => {
    open.delete(far);
    begin(near);
    reporter.tick([], instant(25));
    expect(zones().at(-1)).toEqual(["z1", "z2"]);
  });

  it("are whole once a second for the other zones, twice for the own", () => {
    begin(near);
    near.end("a0" as AttemptId, instant(21));
    begin(far);
    far.end("a0" as AttemptId, instant(21));
    near.begin("b" as AttemptId, { prefill: 0, tokens: 1 }, instant(22));
    for (let now = 25; now <= 2_000; now += 25) {
      reporter.tick([], instant(now));
    }
    expect(zones()).toEqual([
      ["z1", "z2"],
      ["z1"],
      ["z1", "z2"],
      ["z1"],
      ["z1", "z2"],
    ]);
  });

  /**
   * Symptom: a fleet that serves nobody takes a tenth of each core.
   * Sequence: each entry tells its region twice a second that it has nothing in flight.
   * Cause: whole reports went out whatever they held.
   */
  it("cease while there is nothing to tell, and go on with the next work", () => {
    for (let now = 25; now <= 5_000; now += 25) {
      reporter.tick([], instant(now));
    }
    expect(told.length).toBe(2);
    begin(near);
    reporter.tick([], instant(5_025));
    expect(told.length).toBe(3);
    near.end("a0" as AttemptId, instant(5_050));
    for (let now = 5_050; now <= 9_000; now += 25) {
      reporter.tick([], instant(now));
    }
    const since = told.slice(3);
    const empty = since.filter(({ report }) =>
      report.endpoints.every(({ requests }) => requests === 0)
    );
    expect(since.length).toBeLessThan(5);
    expect(empty.length).toBeGreaterThan(1);
    expect(empty.some((item) => item.zones.includes("z2"))).toBe(true);
  });

  it("tell other zones later which prefixes can be fetched", () => {
    begin(near);
    reporter.tick([SUBJECT, GREETING], instant(25));
    expect(told.at(-1)).toMatchObject({
      zones: ["z1"],
      report: { prefixes: [SUBJECT, GREETING] },
    });
    reporter.tick([], instant(500));
    reporter.tick([], instant(1_000));
    expect(told.at(-1)).toMatchObject({
      zones: ["z1", "z2"],
      report: { prefixes: [SUBJECT] },
    });
  });
});

describe("messages of work", () => {
  it("are one for all receivers, so that they are written once", async () => {
    const { FleetController } = await import("../../fleet/index.ts");
    const sent: FleetMessage[] = [];
    const self = {
      id: "a",
      incarnation: "a1",
      zone: "z1",
      region: "r",
      callerAddress: "a:2",
      peerAddress: "a:1",
      weight: 1,
    } as never;
    const fleet = new FleetController({
      self,
      seeds: [],
      period: 500,
      resting: () => false,
      holds: () => [],
      random: { next: () => 0.5 } as never,
      listened: new ListenedTime(instant(0)),
      send: (_to, message) => sent.push(message),
      holdings: () => ({ document: 0, catalogue: NO_POSITION }) as never,
      summary: () => ({}) as never,
    }, instant(0));
    for (const name of ["b", "c"]) {
      fleet.receive({
        kind: "announce",
        holdings: { document: 0, catalogue: NO_POSITION } as never,
        from: {
          ...(self as object),
          id: name,
          incarnation: name,
          peerAddress: `${name}:1`,
          version: 1,
          state: "ready",
        } as never,
      }, instant(1));
    }
    const report = {
      partial: false,
      endpoints: [],
      prefixes: [],
      arrivals: [],
      picture: 0,
    };
    fleet.mail.sendWork(report, ({ zone }) => zone === "z1");
    expect(sent.length).toBe(2);
    expect(sent[0]).toBe(sent[1]);
    fleet.mail.sendWork(report, ({ zone }) => zone === "z2");
    expect(sent.length).toBe(2);
  });
});
