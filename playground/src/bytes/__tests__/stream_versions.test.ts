import { afterAll, beforeAll, describe, expect, it } from "vitest";
import {
  ByteFleet,
  eventsOf,
  RawEngine,
  type RawRequest,
  type RunScript,
  type SeenAnswer,
} from "../index.ts";
import { eventually } from "../../platform/platform_fleet.ts";

const EVENTS = 40;
const EVENT_INTERVAL_MS = 30;
/** So many at once that an entry sends some to each of two engines, whichever it prefers. */
const STREAMS = 60;
const EVENTS_BEFORE_BREAK = 3;
/** Time in which the streams have begun, and none has ended. */
const BEGIN_MS = 500;

const STEADY: RunScript = {
  events: EVENTS,
  piece: eventsOf("c-00", { count: 1 }).length,
  pace: EVENT_INTERVAL_MS,
};

/** So slow that none ends before all have begun on a busy machine. */
const LONG: RunScript = { ...STEADY, pace: 2 * EVENT_INTERVAL_MS };

/** An engine's region and software version. */
interface EnginePlan {
  readonly region: string;
  readonly version: string;
}

/** Entries in processes of their own before engines of several software versions. */
class VersionedFleet {
  readonly engines: (EnginePlan & { readonly engine: RawEngine })[];
  readonly fleet: ByteFleet;

  constructor(
    plan: readonly EnginePlan[],
    script: (engine: string, request: RawRequest) => RunScript = () => STEADY,
  ) {
    this.engines = plan.map((place, index) => {
      const id = `i-${index + 1}`;
      const engine = new RawEngine(id, (request) => script(id, request));
      return { ...place, engine };
    });
    this.fleet = new ByteFleet({
      engines: this.engines,
      entries: ["a", "a", "b"],
      processes: true,
    });
  }

  /** Starts all and waits until the entries know each other and all endpoints. */
  async start(): Promise<void> {
    await this.fleet.start();
    await pause(BEGIN_MS);
  }

  /** Software versions that ran some calls. */
  versionsOf(...calls: string[]): ReadonlySet<string> {
    return new Set(
      this.engines.filter(({ engine }) =>
        engine.runs.some(({ call }) => calls.includes(call))
      ).map(({ version }) => version),
    );
  }
}

/** Number of the last event in a body, 0 if there is none. */
function lastEvent(body: string): number {
  return Number([...body.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1] ?? 0);
}

function pause(timeMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, timeMs));
}

function namesOf(prefix: string): string[] {
  return Array.from({ length: STREAMS }, (_, index) => `${prefix}-${index}`);
}

describe("streams before endpoints of two software versions", () => {
  describe("that their callers take up", () => {
    const versioned = new VersionedFleet([
      { region: "a", version: "v1" },
      { region: "a", version: "v2" },
      { region: "b", version: "v1" },
      { region: "b", version: "v2" },
    ], () => LONG);
    const { fleet } = versioned;

    beforeAll(() => versioned.start());
    afterAll(() => fleet.close());

    // Guards against taking a stream up without knowing its software version.
    it.each([
      { name: "not named", resumes: undefined, status: 503 },
      { name: "unheard of", resumes: "unheard-of", status: 503 },
      { name: "empty", resumes: "", status: 400 },
      { name: "too long", resumes: "x".repeat(1_000), status: 400 },
    ])(
      "are refused without a run where the call that began them is $name",
      async ({ name, resumes, status }) => {
        const call = `u-${name}`.replaceAll(" ", "-");
        const begun = performance.now();
        const answer = await fleet.ask(call, { entry: 1, after: 2, resumes });
        expect(answer.status).toBe(status);
        expect(performance.now() - begun).toBeLessThan(1_000);
        expect(versioned.versionsOf(call).size).toBe(0);
      },
    );

    // Guards against a version that is known only to the entry that began the stream.
    it("go on at their version after the entry that began them was killed", async () => {
      const names = namesOf("k");
      const begun = names.map((call) => fleet.ask(call));
      await eventually(() =>
        names.every((call) => versioned.versionsOf(call).size > 0)
      );
      await pause(BEGIN_MS);
      fleet.entries[0]!.signal("SIGKILL");
      const first = await Promise.all(begun);
      const takeUp = (index: number): Promise<SeenAnswer> =>
        fleet.ask(`${names[index]}~`, {
          entry: 1 + index % 2,
          after: lastEvent(first[index]!.body),
          resumes: names[index],
        });
      const rest = await Promise.all(names.map((_, index) => takeUp(index)));
      const versions = names.map((call) =>
        versioned.versionsOf(call, `${call}~`)
      );
      expect(versions.filter(({ size }) => size > 1)).toEqual([]);
      expect(versioned.versionsOf(...names)).toEqual(new Set(["v1", "v2"]));
      const whole = rest.filter(({ body, end }, index) =>
        end === "whole" &&
        body ===
          eventsOf(`${names[index]}~`, {
            count: EVENTS,
            after: lastEvent(first[index]!.body),
          })
      );
      expect(whole.length).toBeGreaterThanOrEqual(0.9 * STREAMS);
    });
  });

  describe("that break off", () => {
    const broken = new Set(["i-1", "i-2"]);
    const versioned = new VersionedFleet([
      { region: "a", version: "v1" },
      { region: "a", version: "v2" },
      { region: "b", version: "v1" },
      { region: "b", version: "v2" },
      { region: "b", version: "v1" },
      { region: "b", version: "v2" },
    ], (engine, { call }) =>
      broken.has(engine)
        ? {
          ...STEADY,
          stop: "reset",
          stopAt: eventsOf(call, { count: EVENTS_BEFORE_BREAK }).length + 9,
        }
        : STEADY);
    const { fleet } = versioned;

    beforeAll(() => versioned.start());
    afterAll(() => fleet.close());

    // Guards against an entry that continues an interrupted stream at an endpoint of another software version.
    it("go on at their version within one answer", async () => {
      const names = namesOf("c");
      const answers = await Promise.all(
        names.map((call, index) => fleet.ask(call, { entry: index % 2 })),
      );
      const joined = names.filter((call) =>
        versioned.versionsOf(call).size > 1
      );
      expect(joined).toEqual([]);
      expect(versioned.versionsOf(...names)).toEqual(new Set(["v1", "v2"]));
      const whole = answers.filter(({ end }) => end === "whole").length;
      expect(whole).toBeGreaterThanOrEqual(0.9 * STREAMS);
    });
  });
});
