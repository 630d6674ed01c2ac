/**
 * Adds modelled engines to a load, each with the figures of a large engine or with its own.
 *
 * @module
 */
import { recordOf } from "../routes/route_setting.ts";
import type { RouteWorld } from "../routes/route_world.ts";
import { readContention } from "../routes/shared_machine.ts";
import {
  type Line,
  option,
  parseTime,
  ScriptError,
  word,
} from "../scenario/script.ts";
import { EngineModel, type EngineParameters } from "./engine_model.ts";

/** A large engine according to its data sheet, with a network of 180 Gbit/s. */
const LARGE_ENGINE: EngineParameters = {
  slots: 64,
  cacheTokens: 347_388,
  stepMs: 2.6,
  stepMsPerRequest: 0.12,
  stepMsPerThousandContextTokens: 0.003_84,
  prefillTokensPerMs: 48.2,
  maxPrefillTokensPerStep: 2_048,
  msPerMillionTokenPairs: 0.248,
  tokensPerEvent: 9,
  startDelayMs: 14,
  fetchMs: 4,
  fetchMsPerThousandTokens: 0.82,
  slowdown: 1,
};

/** `engines PREFIX COUNT ZONE SERVICE [OPTIONS]`: adds COUNT engines in one zone. */
export function addEngines(world: RouteWorld, line: Line): void {
  const [, prefix, count, ...rest] = line.words;
  for (let index = 1; index <= Number(count); index++) {
    addEngine(world, {
      ...line,
      words: ["engine", `${prefix}${index}`, ...rest],
    });
  }
}

/**
 * `engine NAME ZONE SERVICE [slots N] [cache N] [read TOKENS_PER_MS] [step MS] [slow X] [cold T]
 * [contention SHARE:FACTOR:PERIOD]`: adds an engine and publishes it immediately.
 */
export function addEngine(world: RouteWorld, line: Line): void {
  const name = word(line, 1, "a name");
  const spot = world.spots.get(word(line, 2, "a zone"));
  if (spot === undefined) {
    throw new ScriptError(line, "a zone of a region above");
  }
  const figures = readFigures(line);
  const engine = new EngineModel({
    name,
    id: `i-${name}`,
    service: word(line, 3, "a service"),
    spot,
    slots: figures.slots,
    work: 0,
    machine: world.createMachine(readContention(line)),
  }, {
    time: world.time,
    runs: world.runs,
    figures,
    engineAt: (address) => {
      const backend = world.backendAt(address);
      return backend instanceof EngineModel ? backend : undefined;
    },
  });
  world.backends.set(name, engine);
  const coldFor = parseTime(line, option(line, "cold", "0ms"));
  world.store.put(recordOf(engine, { sequence: 1, coldFor }));
}

function readFigures(line: Line): EngineParameters {
  const figure = (name: string, usual: number): number => {
    const value = Number(option(line, name, String(usual)));
    if (!(value > 0)) {
      throw new ScriptError(line, `a number above zero after ${name}`);
    }
    return value;
  };
  return {
    ...LARGE_ENGINE,
    slots: figure("slots", LARGE_ENGINE.slots),
    cacheTokens: figure("cache", LARGE_ENGINE.cacheTokens),
    prefillTokensPerMs: figure("read", LARGE_ENGINE.prefillTokensPerMs),
    stepMs: figure("step", LARGE_ENGINE.stepMs),
    slowdown: figure("slow", LARGE_ENGINE.slowdown),
  };
}
