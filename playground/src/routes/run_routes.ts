/**
 * Runs a scenario in which entries route requests to endpoints. The script has one step per line,
 * `at TIME ACTION` or `at TIME expect ...`, like the other scenarios. `route_setting.ts`,
 * `route_actions.ts` and `route_expectations.ts` define the commands.
 *
 * @module
 */
import { runSteps } from "../scenario/run_steps.ts";
import { parseScript, settingOf } from "../scenario/script.ts";
import { act, type RouteStage } from "./route_actions.ts";
import { checkExpectation, findViolations } from "./route_expectations.ts";
import { setUp } from "./route_setting.ts";
import { RouteWorld } from "./route_world.ts";

/** Result of a run; `failures` is empty if all expectations and invariants held. */
export interface RoutesOutcome {
  readonly title: string;
  readonly failures: readonly string[];
  readonly world: RouteWorld;
}

/** Steps begin after this time, when the entries have discovered each other. */
const START_MS = 5_000;
const TIME_AFTER_LAST_STEP_MS = 6_000;
const FIRST_VERSION = 4;

/** Options of a run. */
export interface RoutesOptions {
  readonly seed?: number;
  readonly loadSetting?: (name: string) => string;
}

/** Runs a script until `TIME_AFTER_LAST_STEP_MS` after its last step. */
export function runRoutes(
  text: string,
  { seed = 1, loadSetting = () => "" }: RoutesOptions = {},
): RoutesOutcome {
  const script = parseScript(text);
  const world = new RouteWorld(seed);
  const stage: RouteStage = { world, version: FIRST_VERSION, sequence: 1 };
  const setting = settingOf(script, loadSetting);
  setting.forEach((line) => setUp(world, line));
  world.store.publishDocument(stage.version);
  [...world.entries.keys()].forEach((name) => world.startEntry(name));
  world.time.runUntil(START_MS);
  world.startOfScript = START_MS;
  const failures = runSteps(script.steps, {
    time: world.time,
    startAt: START_MS,
    act: (step) => act(stage, step),
    check: (step) => checkExpectation(world, step),
  });
  world.time.runUntil(world.time.now + TIME_AFTER_LAST_STEP_MS);
  return {
    title: script.title,
    failures: [...failures, ...findViolations(world)],
    world,
  };
}
