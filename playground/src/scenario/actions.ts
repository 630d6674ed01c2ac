/**
 * What happens in scenarios.
 *
 * @module
 */
import type { FakeBehaviour, FakeEndpoint } from "./endpoint_fakes.ts";
import type { CallerSend } from "./caller_results.ts";
import type { FakeMode } from "./platform_fakes.ts";
import {
  type Line,
  option,
  pairs,
  parseTime,
  ScriptError,
  word,
} from "./script.ts";
import type { ScenarioText } from "./scenario_text.ts";
import type { World } from "./world.ts";

/** What an action works on. */
export interface Stage {
  readonly world: World;
  readonly text: ScenarioText;
}

type Action = (stage: Stage, line: Line) => void;

/** Does one step. */
export function act(stage: Stage, line: Line): void {
  const action = ACTIONS[line.words[0]!];
  if (action === undefined) {
    throw new ScriptError(line, `one of ${Object.keys(ACTIONS).join(", ")}`);
  }
  action(stage, line);
}

const DEFAULT_DEADLINE = "5s";

const ACTIONS: Readonly<Record<string, Action>> = {
  call: (stage, line) =>
    stage.world.exchanges.send(
      readSend(stage, line, word(line, 3, "a service")),
    ),
  ask: (stage, line) =>
    stage.world.exchanges.send(
      readSend(stage, line, option(line, "of", "pool")),
    ),
  burst: startBurst,
  "hang-up": ({ world }, line) =>
    world.exchanges.hangUp(word(line, 1, "a caller")),
  kill: ({ world }, line) => world.killEntry(word(line, 1, "an entry")),
  freeze: ({ world }, line) => world.freezeEntry(word(line, 1, "an entry")),
  thaw: ({ world }, line) => world.thawEntry(word(line, 1, "an entry")),
  restart: restartEntry,
  stop: ({ world }, line) =>
    world.entry(word(line, 1, "an entry"))?.tell({ kind: "stop" }),
  fail: (stage, line) => setDead(stage, line, true),
  revive: (stage, line) => setDead(stage, line, false),
  mode: (stage, line) => {
    endpointOf(stage, line).behaviour = word(
      line,
      2,
      "a behaviour",
    ) as FakeBehaviour;
  },
  hold: (stage, line) => {
    endpointOf(stage, line).holdMs = parseTime(line, line.words[2]);
  },
  drain: (stage, line) => {
    endpointOf(stage, line).draining = true;
  },
  leave: ({ world }, line) => {
    endpointOf({ world }, line).listedAsLeaving = true;
    world.publishVms();
  },
  unlist: ({ world }, line) => {
    endpointOf({ world }, line).unlisted = true;
    world.publishVms();
  },
  isolate: ({ world }, line) => world.network.isolate(line.words.slice(1)),
  heal: ({ world }) => world.network.heal(),
  platform: ({ world }, line) => {
    world.configuration.mode = word(line, 1, "a mode") as FakeMode;
    world.configuration.wake();
  },
  /** `restore-platform N`: its configuration service is back with revision N as the newest. */
  "restore-platform": ({ world }, line) =>
    world.configuration.restore(Number(word(line, 1, "a revision"))),
  "vm-list": setVmList,
  publish,
  "lose-hand-over-replies": ({ world }) => {
    world.loseHandOverReplies = true;
  },
  "lose-hand-overs": ({ world }) => {
    world.loseHandOvers = true;
  },
  "order-delay": ({ world }, line) => {
    world.orderDelayMs = parseTime(line, line.words[1]);
  },
  poison: ({ world }, line) =>
    world.poisons.add(word(line, 1, "a body"), {
      after: parseTime(line, option(line, "after", "100ms")),
      down: parseTime(line, option(line, "down", "5s")),
    }),
  "unfence": (stage, line) => {
    endpointOf(stage, line).fenced = false;
  },
};

/** `call NAME CUSTOMER SERVICE via ENTRY key KEY`, `ask NAME CUSTOMER via ENTRY`. */
function readSend({ world }: Stage, line: Line, service: string): CallerSend {
  const name = word(line, 1, "a name for the send");
  const via = option(line, "via", "");
  const keyName = option(line, "key", "");
  const rawKey = option(line, "raw-key", "");
  const own = option(line, "hops", "") === "own";
  return {
    name,
    customer: word(line, 2, "a customer"),
    service,
    entry: via,
    key: rawKey ||
      (keyName === ""
        ? undefined
        : world.keyNamed(keyName, option(line, "of", via))),
    body: option(line, "body", "hello"),
    deadlineMs: parseTime(line, option(line, "deadline", DEFAULT_DEADLINE)),
    requestClass: option(line, "class", "") || undefined,
    promptTokens: Number(option(line, "tokens", "0")),
    hops: own ? [world.entry(via)!.incarnation] : [],
  };
}

/** `burst N every TIME ACTION...`: the action's name gets a number. */
function startBurst(stage: Stage, line: Line): void {
  const count = Number(word(line, 1, "a number"));
  const every = parseTime(line, option(line, "every", "0ms"));
  const rest = line.words.slice(line.words.indexOf("every") + 2);
  for (let index = 0; index < count; index++) {
    const words = rest.map((
      item,
      place,
    ) => (place === 1 ? `${item}-${index}` : item.replace("%", String(index))));
    stage.world.time.after(
      index * every,
      () => act(stage, { number: line.number, words }),
    );
  }
}

function restartEntry({ world }: Stage, line: Line): void {
  const id = word(line, 1, "an entry");
  const former = world.entry(id);
  if (former === undefined) {
    throw new ScriptError(line, "an entry of the scenario");
  }
  world.killEntry(id);
  world.startEntry(id, former);
}

function setDead(stage: Stage, line: Line, dead: boolean): void {
  endpointOf(stage, line).dead = dead;
  stage.world.publishVms();
}

function setVmList({ world }: Stage, line: Line): void {
  const mode = word(line, 1, "frozen, normal, down, empty, from or lag");
  world.vmList.down = mode === "down";
  world.vmList.empty = mode === "empty";
  world.vmList.frozenAt = mode === "frozen"
    ? world.time.now - world.vmList.lag
    : undefined;
  if (mode === "from") {
    world.vmList.frozenAt = world.startOfScript +
      parseTime(line, line.words[2]);
  }
  if (mode === "lag") {
    world.vmList.lag = parseTime(line, line.words[2]);
  }
}

/** `publish SECTION[/NAME] KEY=VALUE...`, `publish bad`, `publish remove SECTION/NAME`. */
function publish({ world, text }: Stage, line: Line): void {
  const what = word(line, 1, "a section, bad or remove");
  if (what === "bad") {
    world.configuration.publish(`${text}\n[nonsense\n`);
    return;
  }
  const section = (what === "remove" ? word(line, 2, "a section") : what)
    .replace("/", " ");
  if (what === "remove") {
    text.remove(section);
  } else {
    text.set(section, pairs(line));
  }
  if ("home" in pairs(line)) {
    const customer = section.replace("customer ", "");
    world.homesInDoubt.add(customer);
    world.time.after(
      parseTime(line, option(line, "within", "3s")),
      () => world.homesInDoubt.delete(customer),
    );
  }
  world.configuration.publish(text.toString());
}

function endpointOf({ world }: Pick<Stage, "world">, line: Line): FakeEndpoint {
  const endpoint = world.endpoints.get(word(line, 1, "an endpoint"));
  if (endpoint === undefined) {
    throw new ScriptError(line, "an endpoint of the scenario");
  }
  return endpoint;
}
