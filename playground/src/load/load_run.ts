/**
 * Runs a load: complete gateways of several regions in front of modelled engines, with callers that follow
 * the protocol. A load file uses the language of the scenarios and adds `kind`, `engine`, `engines`,
 * `entries`, `callers`, `customers`, `traffic`, `hot`, `crash` and `end`.
 *
 * @module
 */
import {
  type CustomerId,
  type FeatureSettings,
  SeededRandomness,
} from "@sassafrasstep/core";
import { act, type RouteStage } from "../routes/route_actions.ts";
import { setUp } from "../routes/route_setting.ts";
import { RouteWorld } from "../routes/route_world.ts";
import {
  type Line,
  option,
  parseScript,
  parseTime,
  settingOf,
  type TimedLine,
  word,
} from "../scenario/script.ts";
import { EngineModel } from "./engine_model.ts";
import { LoadCaller } from "./load_caller.ts";
import { LoadCustomers } from "./load_customers.ts";
import { drawRequest } from "./load_draw.ts";
import { addEngine, addEngines } from "./load_engines.ts";
import type { LoadKind, LoadOutcome } from "./load_types.ts";

/** Start of the load's steps, when all entries have discovered each other. */
const STEPS_START_MS = 4_000;
/** Run time after the last step, in which requests in flight end. */
const COMPLETION_MS = 11_000;
const FIRST_DOCUMENT_VERSION = 4;
const DEFAULT_CALLERS_PER_ZONE = 10;
/** Time between the arrivals of a burst. */
const BURST_SPACING_MS = 10;
const MS_PER_SECOND = 1_000;
/** Factor that makes the seed of the traffic differ from that of the entries. */
const TRAFFIC_SEED_FACTOR = 7_919;

/** The outcomes of a load and the state after its run. */
export interface LoadResult {
  readonly title: string;
  readonly outcomes: readonly LoadOutcome[];
  /** Customers that sent more than their usual at some time. */
  readonly hotCustomers: ReadonlySet<CustomerId>;
  readonly engines: readonly EngineModel[];
  readonly world: RouteWorld;
}

/** The seed of a load, and a function that reads the setting files that it names. */
export interface LoadOptions {
  readonly seed: number;
  readonly loadSetting: (name: string) => string;
  /** Settings of optional decisions; `auto` unless given. */
  readonly features?: Partial<FeatureSettings>;
}

/** The state of a running load. */
interface LoadState extends RouteStage {
  readonly kinds: LoadKind[];
  readonly callers: Map<string, LoadCaller[]>;
  readonly rates: Map<string, number>;
  readonly random: SeededRandomness;
  readonly customers: LoadCustomers;
  callersPerZone: number;
  sent: number;
}

/** Runs a load until the requests that it sent have ended. */
export function runLoad(
  text: string,
  { seed, loadSetting, features }: LoadOptions,
): LoadResult {
  const script = parseScript(text);
  const world = new RouteWorld(seed);
  world.features = { ...world.features, ...features };
  const outcomes: LoadOutcome[] = [];
  const state: LoadState = {
    world,
    version: FIRST_DOCUMENT_VERSION,
    sequence: 1,
    kinds: [],
    callers: new Map(),
    rates: new Map(),
    random: new SeededRandomness(seed * TRAFFIC_SEED_FACTOR),
    customers: new LoadCustomers(),
    callersPerZone: DEFAULT_CALLERS_PER_ZONE,
    sent: 0,
  };
  settingOf(script, loadSetting).forEach((line) => applySetting(state, line));
  addCallers(state, outcomes);
  world.store.publishDocument(state.version);
  [...world.entries.keys()].forEach((name) => world.startEntry(name));
  world.time.runUntil(STEPS_START_MS);
  world.startOfScript = STEPS_START_MS;
  script.steps.forEach((step) =>
    world.time.at(STEPS_START_MS + step.at, () => applyStep(state, step))
  );
  const endMs = Math.max(...script.steps.map(({ at }) => at));
  world.time.runUntil(STEPS_START_MS + endMs + COMPLETION_MS);
  const engines = [...world.backends.values()].filter((backend) =>
    backend instanceof EngineModel
  );
  const hotCustomers = state.customers.hot;
  return { title: script.title, outcomes, hotCustomers, engines, world };
}

function applySetting(state: LoadState, line: Line): void {
  switch (line.words[0]) {
    case "kind":
      state.kinds.push(readKind(line));
      return;
    case "engine":
      return addEngine(state.world, line);
    case "entries":
      return addEntries(state.world, line);
    case "engines":
      return addEngines(state.world, line);
    case "customer":
      return state.customers.add(state.world, line);
    case "customers":
      return state.customers.addMany(state.world, line);
    case "callers":
      state.callersPerZone = Number(word(line, 1, "a number"));
      return;
    default:
      return setUp(state.world, line);
  }
}

/** `entries PREFIX COUNT ZONE`: adds COUNT entries in one zone. */
function addEntries(world: RouteWorld, line: Line): void {
  const [, prefix, count, zone] = line.words;
  for (let index = 1; index <= Number(count); index++) {
    setUp(world, { ...line, words: ["entry", `${prefix}${index}`, zone!] });
  }
}

/**
 * `kind NAME ROUTE weight W prompt N:SPREAD answer N:SPREAD limit N worth W late W deadline T [shared A:N,A:N]`:
 * adds a kind of request.
 */
function readKind(line: Line): LoadKind {
  const pair = (name: string): [number, number] => {
    const [mean, spread] = option(line, name, "1:0").split(":").map(Number);
    return [mean!, spread ?? 0];
  };
  const [promptTokens, promptSpread] = pair("prompt");
  const [answerTokens, answerSpread] = pair("answer");
  const shared = option(line, "shared", "");
  return {
    name: word(line, 1, "a name"),
    route: word(line, 2, "a route"),
    weight: Number(option(line, "weight", "1")),
    promptTokens,
    promptSpread,
    shared: shared === "" ? [] : shared.split(",").map((item) => {
      const [variants, tokens] = item.split(":").map(Number);
      return { variants: variants!, tokens: tokens! };
    }),
    answerTokens,
    answerSpread,
    maxAnswerTokens: Number(option(line, "limit", "1000")),
    value: Number(option(line, "worth", "1")),
    lateValue: Number(option(line, "late", "0.5")),
    deadlineMs: parseTime(line, option(line, "deadline", "10s")),
  };
}

function addCallers(
  { world, callers, callersPerZone }: LoadState,
  outcomes: LoadOutcome[],
): void {
  for (const { zone, region } of world.spots.values()) {
    const list = callers.get(region) ?? [];
    for (let index = 0; index < callersPerZone; index++) {
      const name = `${zone}-caller-${index}`;
      list.push(
        new LoadCaller({ name, zone, region, index }, {
          world,
          onOutcome: (outcome) => outcomes.push(outcome),
        }),
      );
    }
    callers.set(region, list);
  }
}

function applyStep(state: LoadState, step: TimedLine): void {
  switch (step.words[0]) {
    case "hot":
      return state.customers.setFactor(step);
    case "traffic":
      return setTraffic(state, step);
    case "engine":
      return addEngine(state.world, step);
    case "crash": {
      const engine = state.world.backends.get(word(step, 1, "an engine"));
      engine instanceof EngineModel && engine.crash();
      return;
    }
    case "end":
      return state.rates.clear();
    default:
      return act(state, step);
  }
}

/** `traffic REGION RATE`: sets the requests per second of a region. */
function setTraffic(state: LoadState, step: TimedLine): void {
  const region = word(step, 1, "a region");
  const wasRunning = (state.rates.get(region) ?? 0) > 0;
  state.rates.set(region, Number(word(step, 2, "a rate")));
  if (!wasRunning) {
    scheduleBurst(state, region);
  }
}

/** Schedules a burst of one to five requests after an exponentially distributed gap, and then the next one. */
function scheduleBurst(state: LoadState, region: string): void {
  const rate = (state.rates.get(region) ?? 0) * state.customers.trafficFactor;
  if (rate <= 0) {
    return;
  }
  const { random, world } = state;
  const count = 1 + Math.floor(random.next() * 5);
  const gapMs = -Math.log(1 - random.next()) * count * MS_PER_SECOND / rate;
  for (let index = 0; index < count; index++) {
    world.time.after(
      gapMs + index * BURST_SPACING_MS,
      () => sendRequest(state, region),
    );
  }
  world.time.after(gapMs, () => scheduleBurst(state, region));
}

function sendRequest(state: LoadState, region: string): void {
  const { random, kinds, callers, customers } = state;
  state.sent++;
  const name = `c${state.sent}`;
  const list = callers.get(region)!;
  const caller = list[Math.floor(random.next() * list.length)]!;
  const drawn = drawRequest(kinds, name, random);
  caller.send({ ...drawn, customer: customers.draw(random) }, name);
}
