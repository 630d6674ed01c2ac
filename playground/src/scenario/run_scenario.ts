/**
 * Runs one scenario.
 *
 * @module
 */
import { runAction, type ScenarioContext } from "./actions.ts";
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
import { type LogListener, World } from "./world.ts";

/** Result of a run. `failures` is empty if all expectations and invariants held. */
export interface ScenarioOutcome {
  readonly title: string;
  readonly failures: readonly string[];
  readonly world: World;
}

const WARM_UP_MS = 3_000;
const SETTLE_MS = 1_000;

/** Options of a scenario run. */
export interface ScenarioOptions {
  readonly seed?: number;
  /** Loads the text of the setting that `use NAME` includes. */
  readonly loadSetting?: (name: string) => string;
  readonly onLog?: LogListener;
}

/**
 * Runs a script until one second after its last step. Time 0 of the steps is after a warm-up, when all
 * entries are ready.
 */
export function runScenario(
  text: string,
  { seed = 1, loadSetting = () => "", onLog }: ScenarioOptions = {},
): ScenarioOutcome {
  const script = parseScript(text);
  const context: ScenarioContext = {
    world: new World(seed, onLog),
    text: new ScenarioText(),
  };
  const { world } = context;
  const setting = settingOf(script, loadSetting);
  buildWorld(context, setting);
  world.time.runUntil(WARM_UP_MS);
  world.startOfScript = WARM_UP_MS;
  const failures = runSteps(script.steps, {
    time: world.time,
    startAt: WARM_UP_MS,
    act: (step) => {
      world.recordConfigurationCalls();
      runAction(context, step);
    },
    check: (step) => {
      world.recordConfigurationCalls();
      return checkExpectation(world, step);
    },
  });
  world.time.runUntil(world.time.now + SETTLE_MS);
  return {
    title: script.title,
    failures: [...failures, ...world.violations.found],
    world,
  };
}

/** Sets up the world from the setting lines. */
export function buildWorld(
  context: ScenarioContext,
  setting: readonly Line[],
): void {
  const locations = new Map<string, Spot>();
  const { world, text } = context;
  const regions = setting.filter(({ words }) => words[0] === "region").map((
    line,
  ) => word(line, 1, "a region"));
  addDefaultServices(text, regions);
  for (const line of setting) {
    applySettingLine(context, line, locations);
  }
  world.configuration.publish(text.toString());
  world.publishVms();
  for (const line of setting.filter(({ words }) => words[0] === "entry")) {
    world.startEntry(word(line, 1, "a name"), zoneLocation(locations, line));
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

function applySettingLine(
  { world, text }: ScenarioContext,
  line: Line,
  locations: Map<string, Spot>,
): void {
  const [kind, name = ""] = line.words;
  switch (kind) {
    case "region": {
      const zones = line.words.slice(2);
      zones.forEach((zone) => locations.set(zone, { zone, region: name }));
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
        makeEndpoint(line, { kind, location: zoneLocation(locations, line) }),
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
  { kind, location }: { kind: "engine" | "plain"; location: Spot },
): FakeEndpoint {
  return new FakeEndpoint(location, {
    id: word(line, 1, "a name"),
    kind,
    pool: word(line, 3, "a pool or service"),
    slots: Number(option(line, "slots", "8")),
    holdMs: parseTime(line, option(line, "hold", "20ms")),
    model: kind === "engine" ? option(line, "model", "m1") : "",
    url: `http://${option(line, "address", word(line, 1, "a name"))}`,
  });
}

function zoneLocation(locations: ReadonlyMap<string, Spot>, line: Line): Spot {
  const location = locations.get(word(line, 2, "a zone"));
  if (location === undefined) {
    throw new ScriptError(line, "a zone of a region above");
  }
  return location;
}
