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
const PIECE_INTERVAL_MS = 8;
const CUT_AT_BYTE = eventsOf("cut", { count: 2 }).length + 9;
const PAUSE_MS = 2_000;
const REMOTE_REGIONS = ["b", "c", "d"];

// Entries run in their own processes. Region a has no endpoints, so that its entry relays every request.
describe("a stream that another region serves", () => {
  const scriptsByCall = new Map<string, RunScript[]>();
  const script = ({ call }: RawRequest): RunScript => {
    const scripts = scriptsByCall.get(call)!;
    return scripts.length > 1 ? scripts.shift()! : scripts[0]!;
  };
  const engines = REMOTE_REGIONS.flatMap((region) =>
    [1, 2].map((index) => ({
      engine: new RawEngine(`i-${region}${index}`, script),
      region,
    }))
  );
  const fleet = new ByteFleet({
    engines,
    entries: ["a", ...REMOTE_REGIONS],
    attempts: ATTEMPTS,
    processes: true,
    stopSeconds: 5,
  });
  const slow: RunScript = {
    events: EVENTS,
    piece: PIECE_BYTES,
    pace: PIECE_INTERVAL_MS,
  };

  const regionsOfRuns = (call: string): string[] =>
    engines.flatMap(({ engine, region }) =>
      engine.runs.filter((run) => run.call === call).map(() => region)
    );
  /** The entry in whose region a call runs. */
  const remoteEntry = (call: string): ProcessEntry =>
    fleet
      .entries[
        1 + REMOTE_REGIONS.indexOf(regionsOfRuns(call)[0]!)
      ] as ProcessEntry;
  const localEntry = (): ProcessEntry => fleet.entries[0] as ProcessEntry;

  /** Requests a stream, and calls `act` once two events have come. */
  const requestStream = async (
    call: string,
    scripts: readonly RunScript[],
    act: () => void = () => {},
  ): Promise<SeenAnswer> => {
    scriptsByCall.set(call, [...scripts]);
    let bytes = 0;
    let acted = false;
    const answer = await fleet.ask(call, {
      onBytes: (count) => {
        bytes += count;
        if (!acted && bytes > CUT_AT_BYTE) {
          acted = true;
          act();
        }
      },
    });
    const whole = eventsOf(call, { count: EVENTS });
    expect(faultOf(answer, { whole })).toBe(undefined);
    expect(regionsOfRuns(call).length).toBeLessThanOrEqual(ATTEMPTS);
    return answer;
  };
  const pauseEntry = (entry: ProcessEntry): void => {
    entry.signal("SIGSTOP");
    void pause(PAUSE_MS).then(() => entry.signal("SIGCONT"));
  };

  beforeAll(async () => {
    await fleet.start();
    scriptsByCall.set("first", [{ events: EVENTS }]);
    await eventually(async () => (await fleet.ask("first")).status === 200);
  });
  afterAll(() => fleet.close());

  it("continues in that region where its endpoint ends inside an event", async () => {
    const torn: RunScript = { ...slow, stop: "closed", stopAt: CUT_AT_BYTE };
    expect((await requestStream("cut", [torn, slow])).end).toBe("whole");
    expect(new Set(regionsOfRuns("cut")).size).toBe(1);
    expect(regionsOfRuns("cut").length).toBe(2);
  });

  it("is complete and runs once where the local entry is paused", async () => {
    const { end } = await requestStream(
      "near",
      [slow],
      () => pauseEntry(localEntry()),
    );
    expect(end).toBe("whole");
    expect(regionsOfRuns("near").length).toBe(1);
  });

  it("is complete and runs once where the remote entry is paused", async () => {
    const { end } = await requestStream(
      "far",
      [slow],
      () => pauseEntry(remoteEntry("far")),
    );
    expect(end).toBe("whole");
    expect(regionsOfRuns("far").length).toBe(1);
  });

  it("is complete where the remote entry performs a planned stop", async () => {
    const act = (): void => remoteEntry("stop").signal("SIGTERM");
    expect((await requestStream("stop", [slow], act)).end).toBe("whole");
    expect(regionsOfRuns("stop").length).toBe(1);
  });

  it("is broken off visibly after an event where the remote entry is killed", async () => {
    const act = (): void => remoteEntry("kill").signal("SIGKILL");
    await requestStream("kill", [slow], act);
  });
});
