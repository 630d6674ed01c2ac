import { beforeEach, describe, expect, it } from "vitest";
import {
  type AttemptId,
  type EndpointId,
  type EndpointPressure,
  type EntryRecord,
  type FleetMessage,
  instant,
  NO_POSITION,
  type PrefixUpdate,
  type RegionId,
  StallAdjustedClock,
  type WorkReport,
  type ZoneId,
} from "../../index.ts";
import type { EndpointRegistry } from "../endpoint_registry.ts";
import type { EndpointState } from "../endpoint_state.ts";
import { createEngine } from "./engine_fixture.ts";
import { WorkReporter } from "../work_reporter.ts";

const REGION = "r" as RegionId;
const LONG = 8_000;
const SUBJECT: PrefixUpdate = {
  endpoint: "e1" as EndpointId,
  life: undefined,
  parts: [{ id: "s", tokens: 4_000 }],
};
const GREETING: PrefixUpdate = {
  endpoint: "e1" as EndpointId,
  life: undefined,
  parts: [{ id: "g", tokens: 200 }],
};

/** Tests a reporter in zone z1 of a region with an engine in each of its two zones. */
describe("an entry's work reports", () => {
  let ownZoneEngine: EndpointState;
  let otherZoneEngine: EndpointState;
  let available: Set<EndpointState>;
  let sent: {
    zones: string[];
    report: WorkReport;
    standby: boolean;
    busy: boolean;
  }[];
  let reporter: WorkReporter;
  let recipients: number;
  let pressures: EndpointPressure[];
  let sentPressures: {
    pressures: readonly EndpointPressure[];
    recipients: string[];
  }[];

  beforeEach(() => {
    recipients = 1;
    pressures = [];
    sentPressures = [];
    ownZoneEngine = createEngine("e1");
    otherZoneEngine = createEngine("e2", { zone: "z2" });
    available = new Set([ownZoneEngine, otherZoneEngine]);
    sent = [];
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
        liveMembers: () => [{ record: { region: REGION } }],
        sender: {
          sendWork: (
            report: WorkReport,
            isRecipient: (record: EntryRecord) => boolean,
          ) => {
            sent.push({
              zones: ["z1", "z2", "z3"].filter((zone) =>
                isRecipient({ zone, incarnation: "carrier" } as never)
              ),
              report,
              standby: isRecipient(
                { zone: "z1", incarnation: "standby" } as never,
              ),
              busy: isRecipient({ zone: "z1", incarnation: "busy" } as never),
            });
            return recipients;
          },
          sendPressures: (
            list: readonly EndpointPressure[],
            isRecipient: (record: EntryRecord) => boolean,
          ) => {
            sentPressures.push({
              pressures: list,
              recipients: ["carrier", "standby", "busy"].filter((incarnation) =>
                isRecipient({ zone: "z1", incarnation } as never)
              ),
            });
          },
        },
      } as never,
      endpoints: {
        all: () => [ownZoneEngine, otherZoneEngine],
        isInService: (state: EndpointState) => available.has(state),
        hasReport: (incarnation: string) => incarnation === "busy",
        ownPressures: () => pressures,
      } as unknown as EndpointRegistry,
      regions: { report: () => [] } as never,
      catalogueHash: () => 7,
      serving: {
        has: ({ incarnation }: EntryRecord) => incarnation === "carrier",
      } as never,
    });
    reporter.tick([], instant(0));
  });

  const begin = (state: EndpointState): void =>
    state.addAttempt(
      `a${state.requests}` as AttemptId,
      { prefill: LONG, tokens: LONG },
      instant(20),
    );
  const zones = (): string[][] => sent.map((item) => item.zones);

  // Guards against entries that each know only what their own answers need.
  it("say what answers need to those that serve, until there is no need", () => {
    const need = {
      endpoint: "e1" as EndpointId,
      life: undefined,
      pressure: 1.2,
    };
    begin(ownZoneEngine);
    pressures = [need];
    reporter.tick([], instant(500));
    pressures = [];
    reporter.tick([], instant(1_000));
    reporter.tick([], instant(1_500));
    expect(sentPressures).toEqual([
      { pressures: [need], recipients: ["carrier", "busy"] },
      { pressures: [], recipients: ["carrier", "busy"] },
    ]);
  });

  it("first go to all zones of the region, and to no other region", () => {
    expect(zones()).toEqual([["z1", "z2"]]);
  });

  // Guards against dozens of serving entries that spend most of their time on each other's reports.
  it("come less often where many entries receive them", () => {
    recipients = 24;
    begin(ownZoneEngine);
    reporter.tick([], instant(20));
    begin(ownZoneEngine);
    reporter.tick([], instant(60));
    expect(sent).toHaveLength(2);
    reporter.tick([], instant(80));
    expect(sent).toHaveLength(3);
  });

  // Guards against work reports that are most of the datagrams and of the traffic between zones. Each
  // prompt used to be reported to all zones at once, though entries choose among the engines of their own
  // zone.
  it("stay in the own zone if they are about its engines only", () => {
    begin(ownZoneEngine);
    reporter.tick([], instant(25));
    expect(zones().at(-1)).toEqual(["z1"]);
  });

  // Guards against entries that spend most of their time on the reports of others. With 91 entries, of
  // which few serve callers, each prompt was reported to all, though entries without requests choose no
  // engine.
  it("go to serving entries, and once a second to standby entries", () => {
    expect(sent.at(-1)).toMatchObject({ standby: true, busy: true });
    begin(ownZoneEngine);
    reporter.tick([], instant(25));
    expect(sent.at(-1)).toMatchObject({ standby: false, busy: true });
    reporter.tick([], instant(500));
    expect(sent.at(-1)).toMatchObject({ standby: false, busy: true });
    reporter.tick([], instant(1_000));
    expect(sent.at(-1)).toMatchObject({ standby: true, busy: true });
  });

  it("go to the zone of the engine that they are about", () => {
    begin(otherZoneEngine);
    reporter.tick([], instant(25));
    expect(zones().at(-1)).toEqual(["z1", "z2"]);
  });

  // Guards against several prompts at once for one engine while another zone is evacuated. Entries of the
  // evacuated zone choose among the other zone's engines and have to know what the entries there send.
  it("go to all zones while one of them has no engine that takes work", () => {
    available.delete(otherZoneEngine);
    begin(ownZoneEngine);
    reporter.tick([], instant(25));
    expect(zones().at(-1)).toEqual(["z1", "z2"]);
  });

  it("are full once a second for other zones, twice a second for the own zone", () => {
    begin(ownZoneEngine);
    ownZoneEngine.removeAttempt("a0" as AttemptId, instant(21));
    begin(otherZoneEngine);
    otherZoneEngine.removeAttempt("a0" as AttemptId, instant(21));
    ownZoneEngine.addAttempt(
      "b" as AttemptId,
      { prefill: 0, tokens: 1 },
      instant(22),
    );
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

  // Guards against a fleet without requests that uses a tenth of each core. Each entry reported twice a
  // second that it has nothing in flight.
  it("stop while there is no work, and resume with the next work", () => {
    for (let now = 25; now <= 5_000; now += 25) {
      reporter.tick([], instant(now));
    }
    expect(sent.length).toBe(2);
    begin(ownZoneEngine);
    reporter.tick([], instant(5_025));
    expect(sent.length).toBe(3);
    ownZoneEngine.removeAttempt("a0" as AttemptId, instant(5_050));
    for (let now = 5_050; now <= 9_000; now += 25) {
      reporter.tick([], instant(now));
    }
    const since = sent.slice(3);
    const empty = since.filter(({ report }) =>
      report.endpoints.every(({ requests }) => requests === 0)
    );
    expect(since.length).toBeLessThan(5);
    expect(empty.length).toBeGreaterThan(1);
    expect(empty.some((item) => item.zones.includes("z2"))).toBe(true);
  });

  it("tell other zones with a delay which prefixes can be fetched", () => {
    begin(ownZoneEngine);
    reporter.tick([SUBJECT, GREETING], instant(25));
    expect(sent.at(-1)).toMatchObject({
      zones: ["z1"],
      report: { prefixes: [SUBJECT, GREETING] },
    });
    reporter.tick([], instant(500));
    reporter.tick([], instant(1_000));
    expect(sent.at(-1)).toMatchObject({
      zones: ["z1", "z2"],
      report: { prefixes: [SUBJECT] },
    });
  });
});

describe("work report messages", () => {
  it("are the same object for all receivers, so that it is serialized once", async () => {
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
      pingPeriodMs: 500,
      isStandby: () => false,
      nextHolds: () => [],
      random: { next: () => 0.5 } as never,
      clock: new StallAdjustedClock(instant(0)),
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
    fleet.sender.sendWork(report, ({ zone }) => zone === "z1");
    expect(sent.length).toBe(2);
    expect(sent[0]).toBe(sent[1]);
    fleet.sender.sendWork(report, ({ zone }) => zone === "z2");
    expect(sent.length).toBe(2);
  });
});
