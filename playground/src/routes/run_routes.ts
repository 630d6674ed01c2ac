/**
 * Runs one scenario of entries before routes. The language is that of the other scenarios: one step a
 * line, `at TIME ACTION`, `at TIME expect ...`; the words are in `route_setting.ts`, `route_actions.ts`
 * and `route_expectations.ts`.
 *
 * @module
 */
import { runSteps } from "../scenario/run_steps.ts";
import { parseScript, settingOf } from "../scenario/script.ts";
import { act, type RouteStage } from "./route_actions.ts";
import { checkRoutes, findViolations } from "./route_expectations.ts";
import { setUp } from "./route_setting.ts";
import { RouteWorld } from "./route_world.ts";

/** What a run came to: nothing wrong, or what. */
export interface RoutesOutcome {
  readonly title: string;
  readonly failures: readonly string[];
  readonly world: RouteWorld;
}

/** Steps begin when the fleet has found itself. */
const START_MS = 5_000;
const TAIL_MS = 6_000;
const FIRST_VERSION = 4;

/** How a script is run. */
export interface RoutesOptions {
  readonly seed?: number;
  readonly loadSetting?: (name: string) => string;
}

/** Runs a script to some seconds after its last step. */
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
    check: (step) => checkRoutes(world, step),
  });
  world.time.runUntil(world.time.now + TAIL_MS);
  return {
    title: script.title,
    failures: [...failures, ...findViolations(world)],
    world,
  };
}
