/**
 * Endpoints crash one after the other, for unrelated reasons or because of poison bodies, while sixty
 * callers repeat harmless requests and four popular bodies arrive about eight times per second. No harmless
 * body may be held, and at most `MAX_LATE_SENDS` sends of a poison body may follow after it should have been
 * detected.
 *
 * Streams of six seconds are the hardest case: copies of a popular body run at every endpoint that crashes,
 * and none has been answered yet. When each body was judged by its copy with the shortest run and six
 * endpoints crashed at once beside a poison body, popular bodies were held and kept the poison body from
 * being held. So the copy with the longest run counts, and bodies that run for longer than endpoints live
 * are left out of the comparison.
 */
import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";
import { MAX_LATE_SENDS } from "../crashes.ts";
import { ENTRIES, runTrial, type TrialPlan } from "../quarantine_trials.ts";
import { runRoutes } from "../run_routes.ts";

const FOLDER = new URL("../../../routes/", import.meta.url);
const SEEDS = [1, 2, 3];

function loadSetting(name: string): string {
  return readFileSync(new URL(`${name}.setting`, FOLDER), "utf8");
}

const BASE_PLAN: TrialPlan = {
  kind: "answer",
  crashCount: 0,
  gapMs: 0,
  zoneCount: 1,
  poisonCount: 0,
  poisonPartCount: 0,
  sharesParts: false,
  eventCount: 40,
};

describe("good requests beside endpoints that end", () => {
  describe.each<[string, Partial<TrialPlan>]>([
    ["three in a zone", { crashCount: 3, gapMs: 300 }],
    ["three in a zone, slowly", { crashCount: 3, gapMs: 1_500 }],
    ["five in a zone", { crashCount: 5, gapMs: 300 }],
    ["all of a zone at once", { crashCount: 6, gapMs: 10 }],
    ["ten in two zones", { crashCount: 10, gapMs: 300, zoneCount: 2 }],
    ["ten, long streams", {
      crashCount: 10,
      gapMs: 800,
      zoneCount: 2,
      eventCount: 160,
    }],
    ["all plain endpoints", { kind: "notify", crashCount: 3, gapMs: 300 }],
    ["three in a zone, with shared parts", {
      crashCount: 3,
      gapMs: 300,
      sharesParts: true,
    }],
    ["all of a zone at once, with shared parts", {
      crashCount: 6,
      gapMs: 10,
      sharesParts: true,
    }],
    ["ten in two zones, with shared parts", {
      crashCount: 10,
      gapMs: 300,
      zoneCount: 2,
      sharesParts: true,
    }],
    ["ten, long streams with shared parts", {
      crashCount: 10,
      gapMs: 800,
      zoneCount: 2,
      eventCount: 160,
      sharesParts: true,
    }],
  ])("%s", (_name, plan) => {
    it.each(SEEDS)("are not held, seed %i", (seed) => {
      const { wronglyHeld } = runTrial({ ...BASE_PLAN, ...plan }, {
        seed,
        loadSetting,
      });
      expect(wronglyHeld).toEqual([]);
    });
  });
});

/** Guards against holding a part that was at all crashes of a long series, and at two of them as a trial. */
describe("a rare part beside long series of crashes", () => {
  it.each([8, 19])("is not held, seed %i", (seed) => {
    const plan = {
      ...BASE_PLAN,
      crashCount: 10,
      gapMs: 800,
      zoneCount: 2,
      eventCount: 160,
      sharesParts: true,
    } as const;
    expect(runTrial(plan, { seed, loadSetting }).wronglyHeld).toEqual([]);
  });
});

describe("requests that crash what runs them", () => {
  describe.each<[string, Partial<TrialPlan>]>([
    ["one", { poisonCount: 1 }],
    ["two at once", { poisonCount: 2 }],
    ["one beside long streams", { poisonCount: 1, eventCount: 160 }],
    ["one, and five unrelated crashes", {
      poisonCount: 1,
      crashCount: 5,
      gapMs: 300,
    }],
    ["one of plain calls", { poisonCount: 1, kind: "notify" }],
    ["all with one part", { poisonPartCount: 1, sharesParts: true }],
    ["all with one of two parts", { poisonPartCount: 2, sharesParts: true }],
    ["all with one part, beside long streams", {
      poisonPartCount: 1,
      sharesParts: true,
      eventCount: 160,
    }],
    ["all with one part, and five unrelated crashes", {
      poisonPartCount: 1,
      sharesParts: true,
      crashCount: 5,
      gapMs: 300,
    }],
    ["all with one part, and one body", {
      poisonPartCount: 1,
      poisonCount: 1,
      sharesParts: true,
    }],
  ])("%s", (_name, plan) => {
    it.each(SEEDS)("are held, and no others, seed %i", (seed) => {
      const outcome = runTrial({ ...BASE_PLAN, ...plan }, {
        seed,
        loadSetting,
      });
      const late = outcome.poisons.filter(({ lateSends }) =>
        lateSends > MAX_LATE_SENDS
      );
      expect({ wrong: outcome.wronglyHeld, late }).toEqual({
        wrong: [],
        late: [],
      });
    });
  });
});

/**
 * Guards against four to six endpoints crashing at once, long after the poison body was detected. The body
 * arrives every 150 ms, all endpoints crash within two seconds, and copies of it wait at all entries. When
 * the current trial had crashed its endpoint, or after five seconds, all entries saw at the same moment that
 * the trial was over and told the others only when sending their own copy, so all copies were sent at once.
 * Where plain endpoints hung, their requests counted as running until their deadline, so that seven crashes
 * were weaker evidence than three.
 */
describe("a request that crashes what runs it, at any pace", () => {
  const REQUEST_OPTIONS = {
    answer: "prompt 600 events 20",
    digest: "prompt 600 events 20",
    notify: "",
  } as const;
  const cases = ["close", "dark", "failure", "reborn"].flatMap((how) =>
    [150, 400, 4_000, 9_000].flatMap((every) =>
      (["answer", "digest", "notify"] as const).map((kind) => ({
        how,
        every,
        kind,
      }))
    )
  );

  it.each(cases)(
    "$kind every $every ms, ends: $how",
    ({ how, every, kind }) => {
      const count = Math.min(120, Math.ceil(60_000 / every));
      const options = REQUEST_OPTIONS[kind];
      const text = `use engines_of_twelve
at 0s poison bad after 150ms how ${how}
at 0s load fine ${kind} via ${ENTRIES} count 300 every 200ms ${options}
at 3s load harm ${kind} via ${ENTRIES} count ${count} every ${every}ms ${options} body bad from one
at 66s expect poison bad sends ${MAX_LATE_SENDS}
at 66s expect held fine 0`;
      expect(runRoutes(text, { seed: 1, loadSetting }).failures).toEqual([]);
    },
  );
});
