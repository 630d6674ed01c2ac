import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { HEADERS } from "@sassafrasstep/platform";
import { eventually } from "../../platform/index.ts";
import {
  ByteFleet,
  eventsOf,
  faultOf,
  RawEngine,
  type RawRequest,
  type RunScript,
  type SeenAnswer,
} from "../index.ts";

const EVENTS = 6;
const ATTEMPTS = 3;
const EVENTS_BEFORE_CUT = 2;
const PARTIAL_EVENT_BYTES = 9;

// Region a has one endpoint, so that a stream that breaks off there continues in region b or c.
describe("a stream that goes on in another region", () => {
  /** By call id and region: the scripts of the first, second and later runs there. */
  const scriptsByCallAndRegion = new Map<string, RunScript[]>();
  const engines = ["a", "b", "b", "b", "c"].map((region, index) => ({
    region,
    engine: new RawEngine(`i-${index}`, ({ call, after }) => {
      const scripts = scriptsByCallAndRegion.get(`${call} ${region}`) ??
        [{ events: EVENTS }];
      const next = scripts.length > 1 ? scripts.shift()! : scripts[0]!;
      const stopAt = next.stop === undefined ? undefined : PARTIAL_EVENT_BYTES +
        (after === 0 ? eventsOf(call, { count: EVENTS_BEFORE_CUT }).length : 0);
      return { ...next, stopAt };
    }),
  }));
  const fleet = new ByteFleet({
    engines,
    entries: ["a", "b", "c"],
    attempts: ATTEMPTS,
  });
  const torn: RunScript = { events: EVENTS, stop: "closed" };
  const failing: RunScript = { events: EVENTS, status: 500 };
  const refusing: RunScript = { events: EVENTS, status: 503, notRun: true };
  const runsOf = (call: string): RawRequest[] =>
    engines.flatMap(({ engine }) => engine.runs)
      .filter((run) => run.call === call)
      .sort((left, right) => left.at - right.at);

  const requestStream = async (
    call: string,
    remoteScripts: Partial<Record<"b" | "c", RunScript>>,
  ): Promise<SeenAnswer> => {
    scriptsByCallAndRegion.set(`${call} a`, [torn]);
    scriptsByCallAndRegion.set(`${call} b`, [
      remoteScripts.b ?? { events: EVENTS },
    ]);
    scriptsByCallAndRegion.set(`${call} c`, [
      remoteScripts.c ?? { events: EVENTS },
    ]);
    const answer = await fleet.ask(call);
    const whole = eventsOf(call, { count: EVENTS });
    expect(faultOf(answer, { whole })).toBe(undefined);
    expect(runsOf(call).length).toBeLessThanOrEqual(ATTEMPTS);
    return answer;
  };

  beforeAll(async () => {
    await fleet.start();
    scriptsByCallAndRegion.set("first a", [{ ...refusing }]);
    await eventually(async () => (await fleet.ask("first")).status === 200);
  });
  afterAll(() => fleet.close());

  it("is complete, and the endpoint there receives the last event id", async () => {
    expect((await requestStream("g1", {})).end).toBe("whole");
    const [, second] = runsOf("g1");
    expect(second!.headers.get(HEADERS.lastEventId)).toBe(
      String(EVENTS_BEFORE_CUT),
    );
    expect(runsOf("g1").length).toBe(2);
  });

  it("is not run more often than its route allows, however it breaks", async () => {
    expect((await requestStream("t1", { b: torn, c: torn })).end).toBe(
      "broken",
    );
  });

  it("ends after a whole event where the endpoints there fail", async () => {
    await requestStream("f1", { b: failing, c: failing });
  });

  it("ends after a whole event where the endpoints there refuse it", async () => {
    const { end } = await requestStream("r1", { b: refusing, c: refusing });
    expect(end).toBe("broken");
    expect(runsOf("r1").length).toBe(1);
  });
});
