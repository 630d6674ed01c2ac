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
const HAS = 2;
const TORN_BYTES = 9;

/** Region a has one endpoint: what breaks off there goes on in region b or c. */
describe("a stream that goes on in another region", () => {
  /** What the endpoints of each region do with a call: the first time, the second and so on. */
  const plans = new Map<string, RunScript[]>();
  const engines = ["a", "b", "b", "b", "c"].map((region, index) => ({
    region,
    engine: new RawEngine(`i-${index}`, ({ call, after }) => {
      const plan = plans.get(`${call} ${region}`) ?? [{ events: EVENTS }];
      const next = plan.length > 1 ? plan.shift()! : plan[0]!;
      const stopAt = next.stop === undefined ? undefined : TORN_BYTES +
        (after === 0 ? eventsOf(call, { count: HAS }).length : 0);
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

  const ask = async (
    call: string,
    far: Partial<Record<"b" | "c", RunScript>>,
  ): Promise<SeenAnswer> => {
    plans.set(`${call} a`, [torn]);
    plans.set(`${call} b`, [far.b ?? { events: EVENTS }]);
    plans.set(`${call} c`, [far.c ?? { events: EVENTS }]);
    const answer = await fleet.ask(call);
    const whole = eventsOf(call, { count: EVENTS });
    expect(faultOf(answer, { whole })).toBe(undefined);
    expect(runsOf(call).length).toBeLessThanOrEqual(ATTEMPTS);
    return answer;
  };

  beforeAll(async () => {
    await fleet.start();
    plans.set("first a", [{ ...refusing }]);
    await eventually(async () => (await fleet.ask("first")).status === 200);
  });
  afterAll(() => fleet.close());

  it("is whole, and the endpoint there is told the last event", async () => {
    expect((await ask("g1", {})).end).toBe("whole");
    const [, second] = runsOf("g1");
    expect(second!.headers.get(HEADERS.lastEventId)).toBe(String(HAS));
    expect(runsOf("g1").length).toBe(2);
  });

  it("is not run more often than its route allows, however it breaks", async () => {
    expect((await ask("t1", { b: torn, c: torn })).end).toBe("broken");
  });

  it("ends after an event where endpoints there fail", async () => {
    await ask("f1", { b: failing, c: failing });
  });

  it("ends after an event where endpoints there turn it away", async () => {
    const { end } = await ask("r1", { b: refusing, c: refusing });
    expect(end).toBe("broken");
    expect(runsOf("r1").length).toBe(1);
  });
});
