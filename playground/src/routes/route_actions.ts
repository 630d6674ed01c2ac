/**
 * What happens in a scenario.
 *
 * @module
 */
import type { EndpointId, Prompt, ZoneId } from "@sassafrasstep/core";
import {
  type Line,
  option,
  parseTime,
  ScriptError,
  word,
} from "../scenario/script.ts";
import { type EndKind, presentAt } from "./crashes.ts";
import type { BackendMode, FakeBackend } from "./fake_backend.ts";
import type { StoreMode } from "./fake_store.ts";
import {
  addBackend,
  readCustomer,
  readRoute,
  recordOf,
} from "./route_setting.ts";
import type { RouteWorld } from "./route_world.ts";

/** State that actions keep beside the world. */
export interface RouteStage {
  readonly world: RouteWorld;
  version: number;
  sequence: number;
}

type Action = (stage: RouteStage, line: Line) => void;

const ACTIONS: Readonly<Record<string, Action>> = {
  call: ({ world }, line) => call(world, line),
  load: ({ world }, line) => load(world, line),
  leave: ({ world }, line) => {
    const seen = world.calls.get(word(line, 1, "a call"));
    seen?.entry.leave(seen.id!);
  },
  mode: ({ world }, line) => {
    backendOf(world, line).mode = word(line, 2, "a mode") as BackendMode;
  },
  /** `limit NAME N|none`: it states so many requests a second in its answers, or no limit any more. */
  limit: ({ world }, line) => {
    const text = word(line, 2, "a rate");
    const perSecond = text === "none" ? undefined : Number(text);
    backendOf(world, line).limits.push({ at: world.time.now, perSecond });
  },
  /** `tired NAME T rest T`: for so long it turns requests away, and asks each sender for so much rest. */
  tired: ({ world }, line) => {
    const until = world.time.now + parseTime(line, word(line, 2, "a time"));
    const restS = parseTime(line, option(line, "rest", "1s")) / 1_000;
    backendOf(world, line).tired = { until, restS };
  },
  /** `leaving NAME`: it says in its answers that it leaves; its record stays as it is. */
  leaving: ({ world }, line) => {
    backendOf(world, line).leaving = true;
  },
  kill: ({ world }, line) => entryOf(world, line).kill(),
  start: ({ world }, line) => world.startEntry(word(line, 1, "an entry")),
  stop: ({ world }, line) => entryOf(world, line).stop(),
  freeze: ({ world }, line) => entryOf(world, line).freeze(),
  thaw: ({ world }, line) => entryOf(world, line).thaw(),
  cut: ({ world }, line) => world.cut(word(line, 1, "an entry")),
  isolate: ({ world }, line) => world.network.isolate(line.words.slice(1)),
  heal: ({ world }) => world.heal(),
  lose: ({ world }, line) => world.loss = Number(word(line, 1, "a part")),
  store: ({ world }, line) => storeMode(world, line),
  compact: ({ world }) => world.store.compact(),
  /** `hide_next`: the next change is in the picture, and no read of changes names it. */
  hide_next: ({ world }) => world.store.hideNext(),
  /** `copy_store`, and `restore_store`: it comes back as it was then, with another epoch. */
  copy_store: ({ world }) => world.store.copy(),
  restore_store: ({ world }) => world.store.restore(),
  publish: (stage) => {
    stage.version += 3;
    stage.world.store.publishDocument(stage.version);
  },
  republish: ({ world }, line) =>
    world.store.publishDocument(Number(word(line, 1, "a version"))),
  route: ({ world }, line) =>
    void world.store.routes.set(word(line, 1, "a name"), readRoute(line)),
  customer: ({ world }, line) =>
    void world.store.customers.set(word(line, 1, "a name"), readCustomer(line)),
  uncustomer: ({ world }, line) =>
    void world.store.customers.delete(word(line, 1, "a name")),
  sleep: ({ world }, line) =>
    entryOf(world, line).sleep(parseTime(line, word(line, 2, "a time"))),
  unroute: ({ world }, line) =>
    void world.store.routes.delete(word(line, 1, "a name")),
  backend: ({ world }, line) => addBackend(world, line),
  drain: (stage, line) => {
    stage.sequence++;
    const backend = backendOf(stage.world, line);
    const { sequence } = stage;
    stage.world.store.put(recordOf(backend, { sequence, state: "draining" }));
  },
  beat: (stage, line) => {
    stage.sequence++;
    stage.world.store.put(recordOf(backendOf(stage.world, line), {
      sequence: stage.sequence,
      coldFor: parseTime(line, option(line, "cold", "0ms")),
    }));
  },
  reborn: ({ world }, line) => reborn(world, line),
  poison: ({ world }, line) => poison(world, line),
  end: ({ world }, line) => end(world, line),
  cure: ({ world: { crashes } }, line) =>
    crashes.cure(word(line, 1, "a version")),
  late_record: ({ world }, line) => {
    const life = Number(option(line, "life", "1"));
    const sequence = Number(option(line, "sequence", "1"));
    const backend = backendOf(world, line);
    world.store.put(recordOf(backend, { sequence, life }));
  },
  remove: ({ world }, line) =>
    world.store.remove(backendOf(world, line).id as EndpointId),
  evacuate: ({ world }, line) =>
    world.store.evacuate(word(line, 1, "a zone") as ZoneId, true),
  restore: ({ world }, line) =>
    world.store.evacuate(word(line, 1, "a zone") as ZoneId, false),
};

/** Does one step. */
export function act(stage: RouteStage, line: Line): void {
  const action = ACTIONS[line.words[0]!];
  if (action === undefined) {
    throw new ScriptError(line, Object.keys(ACTIONS).join(", "));
  }
  action(stage, line);
}

/** `call NAME ROUTE via ENTRY [time T] [prompt N] [shared ID:N] [events N] [body B] [from CALLER] [key K]` */
function call(world: RouteWorld, line: Line): void {
  send(world, line, { name: word(line, 1, "a name"), index: 0 });
}

/** `load NAME ROUTE via ENTRY,... count N every T ...`: calls `NAME-1` to `NAME-N`, at the entries in turn. */
function load(world: RouteWorld, line: Line): void {
  const count = Number(option(line, "count", "1"));
  const every = parseTime(line, option(line, "every", "10ms"));
  for (let index = 1; index <= count; index++) {
    world.time.after(
      (index - 1) * every,
      () =>
        send(world, line, {
          name: `${word(line, 1, "a name")}-${index}`,
          index,
        }),
    );
  }
}

function send(
  world: RouteWorld,
  line: Line,
  { name, index }: { name: string; index: number },
): void {
  const time = option(line, "time", "");
  const entries = option(line, "via", "").split(",");
  const callers = option(line, "from", "caller").split(",");
  world.call({
    name,
    route: word(line, 2, "a route"),
    entry: entries[index % entries.length]!,
    timeLeft: time === "" ? undefined : parseTime(line, time),
    prompt: promptOf(line, name),
    events: Number(option(line, "events", "5")),
    body: option(line, "body", name),
    caller: callers[index % callers.length]!,
    key: option(line, "key", "") || undefined,
  });
}

function promptOf(line: Line, name: string): Prompt | undefined {
  const tokens = Number(option(line, "prompt", "0"));
  if (tokens === 0) {
    return undefined;
  }
  const [id, count] = option(line, "shared", "").split(":");
  const shared = count === undefined
    ? []
    : [{ id: id!, tokens: Number(count) }];
  const total = shared.reduce((sum, part) => sum + part.tokens, tokens);
  return {
    model: "m",
    promptTokens: total,
    outputTokens: 50,
    outputHint: undefined,
    parts: [...shared, { id: name, tokens }],
  };
}

/** `poison BODY [after T] [how close|dark|failure|reborn] [down T]`: it crashes each endpoint that runs it. */
function poison(world: RouteWorld, line: Line): void {
  world.crashes.addPoison(word(line, 1, "a body"), {
    after: parseTime(line, option(line, "after", "100ms")),
    how: option(line, "how", "close") as EndKind,
    down: parseTime(line, option(line, "down", "7s")),
  });
}

/** `end NAME,... every T [how ...] [down T]`: endpoints end one after the other, under nothing of ours. */
function end(world: RouteWorld, line: Line): void {
  const names = word(line, 1, "backends").split(",");
  const every = parseTime(line, option(line, "every", "0ms"));
  const how = option(line, "how", "close") as EndKind;
  const down = parseTime(line, option(line, "down", "7s"));
  names.forEach((name, index) =>
    world.time.after(
      index * every,
      () => world.crashes.end(presentAt(world, name), { how, down }),
    )
  );
}

/** `reborn NAME life N [cold T]`: starts again under its id; what it ran is lost, its counts start anew. */
function reborn(world: RouteWorld, line: Line): void {
  const backend = backendOf(world, line);
  backend.startAgain(Number(option(line, "life", "1")));
  const coldFor = parseTime(line, option(line, "cold", "0ms"));
  world.store.put(recordOf(backend, { sequence: 1, coldFor }));
}

/** `store MODE [ENTRY...]` */
function storeMode({ store }: RouteWorld, line: Line): void {
  const mode = word(line, 1, "a mode") as StoreMode;
  const entries = line.words.slice(2);
  if (entries.length === 0) {
    store.mode = mode;
    store.modes.clear();
  }
  entries.forEach((entry) => store.modes.set(entry, mode));
}

function entryOf(
  { entries }: RouteWorld,
  line: Line,
): NonNullable<ReturnType<RouteWorld["entries"]["get"]>> {
  const entry = entries.get(word(line, 1, "an entry"));
  if (entry === undefined) {
    throw new ScriptError(line, "an entry of the setting");
  }
  return entry;
}

function backendOf({ backends }: RouteWorld, line: Line): FakeBackend {
  const backend = backends.get(word(line, 1, "a backend"));
  if (backend === undefined) {
    throw new ScriptError(line, "a backend of the setting");
  }
  return backend;
}
