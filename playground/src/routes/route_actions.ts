/**
 * Actions that the steps of a scenario may perform.
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
import { type CrashKind, currentBackend } from "./crashes.ts";
import type { BackendMode, FakeBackend } from "./fake_backend.ts";
import type { StoreMode } from "./fake_store.ts";
import {
  addBackend,
  readBounds,
  readCustomer,
  readRoute,
  recordOf,
} from "./route_setting.ts";
import type { RouteWorld } from "./route_world.ts";
import { promptOf, requestStream, type StreamPlan } from "./stream_callers.ts";

/** State that actions share: the world, and the last document version and record sequence used. */
export interface RouteStage {
  readonly world: RouteWorld;
  version: number;
  sequence: number;
}

type Action = (stage: RouteStage, line: Line) => void;

const ACTIONS: Readonly<Record<string, Action>> = {
  call: ({ world }, line) => sendCall(world, line),
  load: ({ world }, line) => sendLoad(world, line),
  stream: ({ world }, line) => sendStreams(world, line),
  leave: ({ world }, line) => {
    const call = world.calls.get(word(line, 1, "a call"));
    call?.entry.leave(call.id!);
  },
  mode: ({ world }, line) => {
    findBackend(world, line).mode = word(line, 2, "a mode") as BackendMode;
  },
  /** `limit NAME N|none`: the backend states a limit in requests per second in its answers, or none. */
  limit: ({ world }, line) => {
    const text = word(line, 2, "a rate");
    const perSecond = text === "none" ? undefined : Number(text);
    findBackend(world, line).limits.push({ at: world.time.now, perSecond });
  },
  /** `cools NAME T`: the backend is cold for time T and says so in health checks; its record does not change. */
  cools: ({ world }, line) => {
    const coldFor = parseTime(line, word(line, 2, "a time"));
    findBackend(world, line).coldUntil = world.time.now + coldFor;
  },
  /** `tired NAME T rest T`: for time T the backend rejects requests and asks each sender for a backoff. */
  tired: ({ world }, line) => {
    const until = world.time.now + parseTime(line, word(line, 2, "a time"));
    const backoffS = parseTime(line, option(line, "rest", "1s")) / 1_000;
    findBackend(world, line).overload = { until, backoffS };
  },
  /** `leaving NAME`: the backend's answers say that it is leaving; its record doesn't change. */
  leaving: ({ world }, line) => {
    findBackend(world, line).leaving = true;
  },
  /** `bounds slack N`: operators change the settings, and all entries read them again. */
  bounds: ({ world }, line) => world.changeBounds(readBounds(world, line)),
  /** `kill_all`: the processes of all entries end at once. */
  kill_all: ({ world }) => world.entries.forEach((entry) => entry.kill()),
  start_all: ({ world }) =>
    [...world.entries.keys()].forEach((name) => world.startEntry(name)),
  kill: ({ world }, line) => findEntry(world, line).kill(),
  start: ({ world }, line) => world.startEntry(word(line, 1, "an entry")),
  stop: ({ world }, line) => findEntry(world, line).stop(),
  freeze: ({ world }, line) => findEntry(world, line).freeze(),
  thaw: ({ world }, line) => findEntry(world, line).thaw(),
  cut: ({ world }, line) => world.isolateEntry(word(line, 1, "an entry")),
  isolate: ({ world }, line) => world.network.isolate(line.words.slice(1)),
  heal: ({ world }) => world.heal(),
  lose: ({ world }, line) =>
    world.datagramLossRate = Number(word(line, 1, "a fraction")),
  store: ({ world }, line) => setStoreMode(world, line),
  compact: ({ world }) => world.store.compact(),
  /** `hide_next`: reads of changes omit the next change; only reads of the whole catalogue show it. */
  hide_next: ({ world }) => world.store.hideNextChange(),
  /** `copy_store` makes a backup of the store; `restore_store` restores it under a new epoch. */
  copy_store: ({ world }) => world.store.createBackup(),
  restore_store: ({ world }) => world.store.restoreBackup(),
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
    findEntry(world, line).sleep(parseTime(line, word(line, 2, "a time"))),
  unroute: ({ world }, line) =>
    void world.store.routes.delete(word(line, 1, "a name")),
  backend: ({ world }, line) => addBackend(world, line),
  drain: (stage, line) => {
    stage.sequence++;
    const backend = findBackend(stage.world, line);
    const { sequence } = stage;
    stage.world.store.put(recordOf(backend, { sequence, state: "draining" }));
  },
  beat: (stage, line) => {
    stage.sequence++;
    stage.world.store.put(recordOf(findBackend(stage.world, line), {
      sequence: stage.sequence,
      coldFor: parseTime(line, option(line, "cold", "0ms")),
    }));
  },
  reborn: ({ world }, line) => restartBackend(world, line),
  poison: ({ world }, line) => addPoison(world, line),
  end: ({ world }, line) => crashBackends(world, line),
  cure: ({ world: { crashes } }, line) =>
    crashes.markFixed(word(line, 1, "a version")),
  late_record: ({ world }, line) => {
    const life = Number(option(line, "life", "1"));
    const sequence = Number(option(line, "sequence", "1"));
    const backend = findBackend(world, line);
    world.store.put(recordOf(backend, { sequence, life }));
  },
  remove: ({ world }, line) =>
    world.store.remove(findBackend(world, line).id as EndpointId),
  evacuate: ({ world }, line) =>
    world.store.evacuate(word(line, 1, "a zone") as ZoneId, true),
  restore: ({ world }, line) =>
    world.store.evacuate(word(line, 1, "a zone") as ZoneId, false),
};

/** Performs one step. */
export function act(stage: RouteStage, line: Line): void {
  const action = ACTIONS[line.words[0]!];
  if (action === undefined) {
    throw new ScriptError(line, Object.keys(ACTIONS).join(", "));
  }
  action(stage, line);
}

/**
 * `call NAME ROUTE via ENTRY [time T] [prompt N] [shared ID:N,...|ID:N,...] [events N] [body B] [from CALLER] [key K]`.
 * Calls of a load take the lists of shared prompt parts in turn.
 */
function sendCall(world: RouteWorld, line: Line): void {
  sendRequest(world, line, { name: word(line, 1, "a name"), index: 0 });
}

/** `load NAME ROUTE via ENTRY,... count N every T ...`: sends calls `NAME-1` to `NAME-N`, rotating the entries. */
function sendLoad(world: RouteWorld, line: Line): void {
  const count = Number(option(line, "count", "1"));
  const every = parseTime(line, option(line, "every", "10ms"));
  for (let index = 1; index <= count; index++) {
    world.time.after(
      (index - 1) * every,
      () =>
        sendRequest(world, line, {
          name: `${word(line, 1, "a name")}-${index}`,
          index,
        }),
    );
  }
}

/**
 * `stream NAME ROUTE via ENTRY,... back ENTRY,... [count N] [every T] [events N] [prompt N] [tries N] [after T]
 * [naming root|nothing|malformed|TEXT]`: requests streams like `load`. A caller whose stream breaks off takes it up at
 * the next entry of `back`, up to `tries` times.
 */
function sendStreams(world: RouteWorld, line: Line): void {
  const list = (key: string): string[] => option(line, key, "").split(",");
  const time = (key: string, preset: string): number =>
    parseTime(line, option(line, key, preset));
  const count = Number(option(line, "count", "1"));
  for (let index = 0; index < count; index++) {
    const entries = list("via");
    const plan: StreamPlan = {
      name: `${word(line, 1, "a name")}-${index + 1}`,
      route: word(line, 2, "a route"),
      entry: entries[index % entries.length]!,
      entriesAfterwards: list("back"),
      events: Number(option(line, "events", "40")),
      promptTokens: Number(option(line, "prompt", "600")),
      timeoutMs: time("time", "15s"),
      retries: Number(option(line, "tries", "1")),
      pauseMs: time("after", "20ms"),
      naming: option(line, "naming", "root"),
    };
    world.time.after(
      index * time("every", "10ms"),
      () => requestStream(world, plan, index),
    );
  }
}

function sendRequest(
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
    timeLeftMs: time === "" ? undefined : parseTime(line, time),
    prompt: readPrompt(line, { name, index }),
    events: Number(option(line, "events", "5")),
    body: option(line, "body", name),
    caller: callers[index % callers.length]!,
    key: option(line, "key", "") || undefined,
  });
}

function readPrompt(
  line: Line,
  { name, index }: { name: string; index: number },
): Prompt | undefined {
  const tokens = Number(option(line, "prompt", "0"));
  if (tokens === 0) {
    return undefined;
  }
  const lists = option(line, "shared", "").split("|");
  const list = lists[index % lists.length]!;
  const shared = (list === "" ? [] : list.split(",")).map((item) => {
    const [id, sharedTokens] = item.split(":");
    return { id: id!, tokens: Number(sharedTokens) };
  });
  return promptOf([...shared, { id: name, tokens }]);
}

/**
 * `poison NAME [part] [after T] [until T] [answers] [events N] [how close|dark|failure|reborn] [down T]`: the body or the
 * prompt part of this name crashes each endpoint that runs it, after its first events if there are any. With `until` the
 * time is drawn from a span; with `answers` the endpoint goes on answering until then.
 */
function addPoison(world: RouteWorld, line: Line): void {
  const crashAfterMs = parseTime(line, option(line, "after", "100ms"));
  const until = option(line, "until", "");
  world.crashes.addPoison(word(line, 1, "a body or a part"), {
    of: line.words.includes("part") ? "part" : "body",
    crashAfterMs,
    crashSpanMs: until === "" ? 0 : parseTime(line, until) - crashAfterMs,
    answersMeanwhile: line.words.includes("answers"),
    eventCount: Number(option(line, "events", "0")),
    kind: option(line, "how", "close") as CrashKind,
    downtimeMs: parseTime(line, option(line, "down", "7s")),
  });
}

/** `end NAME,... every T [how ...] [down T]`: endpoints crash in turn, not because of a request. */
function crashBackends(world: RouteWorld, line: Line): void {
  const names = word(line, 1, "backends").split(",");
  const every = parseTime(line, option(line, "every", "0ms"));
  const kind = option(line, "how", "close") as CrashKind;
  const downtimeMs = parseTime(line, option(line, "down", "7s"));
  names.forEach((name, index) =>
    world.time.after(
      index * every,
      () =>
        world.crashes.crash(currentBackend(world, name), { kind, downtimeMs }),
    )
  );
}

/**
 * `reborn NAME life N [cold T] [version V]`: restarts a backend under its id. Its running requests are lost, and the
 * sequence of its records starts at 1 again.
 */
function restartBackend(world: RouteWorld, line: Line): void {
  const backend = findBackend(world, line);
  backend.restart(Number(option(line, "life", "1")));
  backend.version = option(line, "version", backend.version);
  const coldFor = parseTime(line, option(line, "cold", "0ms"));
  world.store.put(recordOf(backend, { sequence: 1, coldFor }));
}

/** `store MODE [ENTRY...]`: sets the store's mode for some entries, or for all if none is named. */
function setStoreMode({ store }: RouteWorld, line: Line): void {
  const mode = word(line, 1, "a mode") as StoreMode;
  const entries = line.words.slice(2);
  if (entries.length === 0) {
    store.mode = mode;
    store.modes.clear();
  }
  entries.forEach((entry) => store.modes.set(entry, mode));
}

function findEntry(
  { entries }: RouteWorld,
  line: Line,
): NonNullable<ReturnType<RouteWorld["entries"]["get"]>> {
  const entry = entries.get(word(line, 1, "an entry"));
  if (entry === undefined) {
    throw new ScriptError(line, "an entry of the setting");
  }
  return entry;
}

function findBackend({ backends }: RouteWorld, line: Line): FakeBackend {
  const backend = backends.get(word(line, 1, "a backend"));
  if (backend === undefined) {
    throw new ScriptError(line, "a backend of the setting");
  }
  return backend;
}
