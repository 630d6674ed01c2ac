import { setTimeout as pause } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { eventually } from "../../platform/index.ts";
import {
  ByteFleet,
  eventsOf,
  faultOf,
  ProcessEntry,
  RawEngine,
  type RawRequest,
  type RunScript,
  type SeenAnswer,
} from "../index.ts";

const EVENTS = 20;
const ATTEMPTS = 3;
const PIECE_BYTES = 7;
const PIECE_PACE_MS = 8;
const TORN_AT = eventsOf("cut", { count: 2 }).length + 9;
const STANDSTILL_MS = 2_000;
const FAR = ["b", "c", "d"];

// Entries in processes of their own; region a has no endpoints, so that its entry passes everything on.
describe("a stream that another region serves", () => {
  const plans = new Map<string, RunScript[]>();
  const script = ({ call }: RawRequest): RunScript => {
    const plan = plans.get(call)!;
    return plan.length > 1 ? plan.shift()! : plan[0]!;
  };
  const engines = FAR.flatMap((region) =>
    [1, 2].map((index) => ({
      engine: new RawEngine(`i-${region}${index}`, script),
      region,
    }))
  );
  const fleet = new ByteFleet({
    engines,
    entries: ["a", ...FAR],
    attempts: ATTEMPTS,
    processes: true,
    stopSeconds: 5,
  });
  const slow: RunScript = {
    events: EVENTS,
    piece: PIECE_BYTES,
    pace: PIECE_PACE_MS,
  };

  const runsOf = (call: string): string[] =>
    engines.flatMap(({ engine, region }) =>
      engine.runs.filter((run) => run.call === call).map(() => region)
    );
  /** The entry that passes a request's answer on from its engine. */
  const farEntry = (call: string): ProcessEntry =>
    fleet.entries[1 + FAR.indexOf(runsOf(call)[0]!)] as ProcessEntry;
  const near = (): ProcessEntry => fleet.entries[0] as ProcessEntry;

  /** Asks, and does something once two events have come. */
  const ask = async (
    call: string,
    plan: readonly RunScript[],
    act: () => void = () => {},
  ): Promise<SeenAnswer> => {
    plans.set(call, [...plan]);
    let bytes = 0;
    let acted = false;
    const answer = await fleet.ask(call, {
      onBytes: (count) => {
        bytes += count;
        if (!acted && bytes > TORN_AT) {
          acted = true;
          act();
        }
      },
    });
    const whole = eventsOf(call, { count: EVENTS });
    expect(faultOf(answer, { whole })).toBe(undefined);
    expect(runsOf(call).length).toBeLessThanOrEqual(ATTEMPTS);
    return answer;
  };
  const standStill = (entry: ProcessEntry): void => {
    entry.signal("SIGSTOP");
    void pause(STANDSTILL_MS).then(() => entry.signal("SIGCONT"));
  };

  beforeAll(async () => {
    await fleet.start();
    plans.set("first", [{ events: EVENTS }]);
    await eventually(async () => (await fleet.ask("first")).status === 200);
  });
  afterAll(() => fleet.close());

  it("goes on there where its endpoint ends inside an event", async () => {
    const torn: RunScript = { ...slow, stop: "closed", stopAt: TORN_AT };
    expect((await ask("cut", [torn, slow])).end).toBe("whole");
    expect(new Set(runsOf("cut")).size).toBe(1);
    expect(runsOf("cut").length).toBe(2);
  });

  it("is whole and runs once where the near entry stands still", async () => {
    const { end } = await ask("near", [slow], () => standStill(near()));
    expect(end).toBe("whole");
    expect(runsOf("near").length).toBe(1);
  });

  it("is whole and runs once where the far entry stands still", async () => {
    const { end } = await ask("far", [slow], () => standStill(farEntry("far")));
    expect(end).toBe("whole");
    expect(runsOf("far").length).toBe(1);
  });

  it("is whole where the far entry stops as planned", async () => {
    const act = (): void => farEntry("stop").signal("SIGTERM");
    expect((await ask("stop", [slow], act)).end).toBe("whole");
    expect(runsOf("stop").length).toBe(1);
  });

  it("ends visibly, after an event, where the far entry is killed", async () => {
    const act = (): void => farEntry("kill").signal("SIGKILL");
    await ask("kill", [slow], act);
  });
});
