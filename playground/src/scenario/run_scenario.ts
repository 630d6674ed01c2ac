/**
 * Runs one scenario.
 *
 * @module
 */
import { act, type Stage } from "./actions.ts";
import { FakeEndpoint } from "./endpoint_fakes.ts";
import { checkExpectation } from "./expectations.ts";
import type { Spot } from "./network.ts";
import {
  type Line,
  option,
  pairs,
  parseScript,
  parseTime,
  ScriptError,
  settingOf,
  word,
} from "./script.ts";
import { runSteps } from "./run_steps.ts";
import { ScenarioText } from "./scenario_text.ts";
import { World } from "./world.ts";

/** What a run came to: nothing wrong, or what. */
export interface ScenarioOutcome {
  readonly title: string;
  readonly failures: readonly string[];
  readonly world: World;
}

const START_MS = 3_000;
const TAIL_MS = 1_000;

/** How a script is run. */
export interface ScenarioOptions {
  readonly seed?: number;
  /** Lines of settings that `use NAME` stands for. */
  readonly loadSetting?: (name: string) => string;
}

/** Runs a script from its start to a second after its last step. Steps begin at 0 when all is warm. */
export function runScenario(
  text: string,
  { seed = 1, loadSetting = () => "" }: ScenarioOptions = {},
): ScenarioOutcome {
  const script = parseScript(text);
  const stage: Stage = { world: new World(seed), text: new ScenarioText() };
  const { world } = stage;
  const setting = settingOf(script, loadSetting);
  prepare(stage, setting);
  world.time.runUntil(START_MS);
  world.startOfScript = START_MS;
  const failures = runSteps(script.steps, {
    time: world.time,
    startAt: START_MS,
    act: (step) => {
      world.noteCalls();
      act(stage, step);
    },
    check: (step) => {
      world.noteCalls();
      return checkExpectation(world, step);
    },
  });
  world.time.runUntil(world.time.now + TAIL_MS);
  return {
    title: script.title,
    failures: [...failures, ...world.violations.found],
    world,
  };
}

/** Builds a world from the lines before the steps. */
export function prepare(stage: Stage, setting: readonly Line[]): void {
  const spots = new Map<string, Spot>();
  const { world, text } = stage;
  const regions = setting.filter(({ words }) => words[0] === "region").map((
    line,
  ) => word(line, 1, "a region"));
  addDefaultServices(text, regions);
  for (const line of setting) {
    setUp(stage, line, spots);
  }
  world.configuration.publish(text.toString());
  world.publishVms();
  for (const line of setting.filter(({ words }) => words[0] === "entry")) {
    world.startEntry(word(line, 1, "a name"), spotOf(spots, line));
  }
}

function addDefaultServices(
  text: ScenarioText,
  regions: readonly string[],
): void {
  text.set("service check-in", {
    kind: "plain",
    repeatable: "no",
    not_run_statuses: "503",
    regions: regions.join(", "),
  });
  text.set("service pool", {
    kind: "model",
    model: "m1",
    pool: "pool",
    regions: regions.join(", "),
  });
}

function setUp(
  { world, text }: Stage,
  line: Line,
  spots: Map<string, Spot>,
): void {
  const [kind, name = ""] = line.words;
  switch (kind) {
    case "region": {
      const zones = line.words.slice(2);
      zones.forEach((zone) => spots.set(zone, { zone, region: name }));
      text.set(`region ${name}`, { zones: zones.join(", ") });
      return;
    }
    case "customer": {
      const home = option(line, "home", "");
      text.addCustomer(name, {
        home,
        bound: !line.words.includes("free"),
        rate: option(line, "rate", "1000"),
      });
      return;
    }
    case "service":
      text.set(`service ${name}`, pairs(line));
      return;
    case "deployment":
      text.set("deployment", pairs(line));
      return;
    case "epoch":
      world.epochLengthMs = parseTime(line, line.words[1]);
      return;
    case "engine":
    case "plain":
      world.addEndpoint(
        makeEndpoint(line, { kind, spot: spotOf(spots, line) }),
      );
      return;
    case "entry":
      return;
    default:
      throw new ScriptError(
        line,
        "region, entry, customer, service, deployment, engine, plain, epoch or at",
      );
  }
}

function makeEndpoint(
  line: Line,
  { kind, spot }: { kind: "engine" | "plain"; spot: Spot },
): FakeEndpoint {
  return new FakeEndpoint(spot, {
    id: word(line, 1, "a name"),
    kind,
    pool: word(line, 3, "a pool or service"),
    slots: Number(option(line, "slots", "8")),
    holdMs: parseTime(line, option(line, "hold", "20ms")),
    model: kind === "engine" ? option(line, "model", "m1") : "",
    url: `http://${option(line, "address", word(line, 1, "a name"))}`,
  });
}

function spotOf(spots: ReadonlyMap<string, Spot>, line: Line): Spot {
  const spot = spots.get(word(line, 2, "a zone"));
  if (spot === undefined) {
    throw new ScriptError(line, "a zone of a region above");
  }
  return spot;
}
