/**
 * The actions that a scenario's steps can perform.
 *
 * @module
 */
import type { FakeBehaviour, FakeEndpoint } from "./endpoint_fakes.ts";
import type { CallerRequest } from "./caller_results.ts";
import type { FakeConfigurationMode } from "./platform_fakes.ts";
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

/** The world that an action changes, and the configuration text that it can edit and publish. */
export interface ScenarioContext {
  readonly world: World;
  readonly text: ScenarioText;
}

type Action = (context: ScenarioContext, line: Line) => void;

/** Runs the action that a step's first word names. */
export function runAction(context: ScenarioContext, line: Line): void {
  const action = ACTIONS[line.words[0]!];
  if (action === undefined) {
    throw new ScriptError(line, `one of ${Object.keys(ACTIONS).join(", ")}`);
  }
  action(context, line);
}

const DEFAULT_DEADLINE = "5s";

const ACTIONS: Readonly<Record<string, Action>> = {
  call: (context, line) =>
    context.world.requests.send(
      parseCallerRequest(context, line, word(line, 3, "a service")),
    ),
  ask: (context, line) =>
    context.world.requests.send(
      parseCallerRequest(context, line, option(line, "of", "pool")),
    ),
  burst: scheduleBurst,
  "hang-up": ({ world }, line) =>
    world.requests.hangUp(word(line, 1, "a caller")),
  kill: ({ world }, line) => world.killEntry(word(line, 1, "an entry")),
  freeze: ({ world }, line) => world.freezeEntry(word(line, 1, "an entry")),
  thaw: ({ world }, line) => world.thawEntry(word(line, 1, "an entry")),
  restart: restartEntry,
  stop: ({ world }, line) =>
    world.entry(word(line, 1, "an entry"))?.sendEvent({ kind: "stop" }),
  fail: (context, line) => setDead(context, line, true),
  revive: (context, line) => setDead(context, line, false),
  mode: (context, line) => {
    findEndpoint(context, line).behaviour = word(
      line,
      2,
      "a behaviour",
    ) as FakeBehaviour;
  },
  hold: (context, line) => {
    findEndpoint(context, line).holdMs = parseTime(line, line.words[2]);
  },
  drain: (context, line) => {
    findEndpoint(context, line).draining = true;
  },
  leave: ({ world }, line) => {
    findEndpoint({ world }, line).listedAsLeaving = true;
    world.publishVms();
  },
  unlist: ({ world }, line) => {
    findEndpoint({ world }, line).unlisted = true;
    world.publishVms();
  },
  isolate: ({ world }, line) => world.network.isolate(line.words.slice(1)),
  heal: ({ world }) => world.network.heal(),
  platform: ({ world }, line) => {
    world.configuration.mode = word(line, 1, "a mode") as FakeConfigurationMode;
    world.configuration.wakeWatchers();
  },
  /** `restore-platform N`: restores the configuration service from a backup that ends at revision N. */
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
      crashAfterMs: parseTime(line, option(line, "after", "100ms")),
      downtimeMs: parseTime(line, option(line, "down", "5s")),
    }),
  "unfence": (context, line) => {
    findEndpoint(context, line).fenced = false;
  },
};

/** Parses `call NAME CUSTOMER SERVICE via ENTRY key KEY` and `ask NAME CUSTOMER via ENTRY`. */
function parseCallerRequest(
  { world }: ScenarioContext,
  line: Line,
  service: string,
): CallerRequest {
  const name = word(line, 1, "a name for the request");
  const via = option(line, "via", "");
  const keyName = option(line, "key", "");
  const rawKey = option(line, "raw-key", "");
  const includeOwnHop = option(line, "hops", "") === "own";
  return {
    name,
    customer: word(line, 2, "a customer"),
    service,
    entry: via,
    key: rawKey ||
      (keyName === ""
        ? undefined
        : world.idempotencyKey(keyName, option(line, "of", via))),
    body: option(line, "body", "hello"),
    deadlineMs: parseTime(line, option(line, "deadline", DEFAULT_DEADLINE)),
    requestClass: option(line, "class", "") || undefined,
    promptTokens: Number(option(line, "tokens", "0")),
    hops: includeOwnHop ? [world.entry(via)!.incarnation] : [],
  };
}

/**
 * `burst N every TIME ACTION...`: repeats an action N times. Each repetition appends its number to the
 * action's name and replaces `%` in the other words.
 */
function scheduleBurst(context: ScenarioContext, line: Line): void {
  const count = Number(word(line, 1, "a number"));
  const every = parseTime(line, option(line, "every", "0ms"));
  const rest = line.words.slice(line.words.indexOf("every") + 2);
  for (let index = 0; index < count; index++) {
    const words = rest.map((
      item,
      position,
    ) => (position === 1
      ? `${item}-${index}`
      : item.replace("%", String(index)))
    );
    context.world.time.after(
      index * every,
      () => runAction(context, { number: line.number, words }),
    );
  }
}

function restartEntry({ world }: ScenarioContext, line: Line): void {
  const id = word(line, 1, "an entry");
  const former = world.entry(id);
  if (former === undefined) {
    throw new ScriptError(line, "an entry of the scenario");
  }
  world.killEntry(id);
  world.startEntry(id, former);
}

function setDead(context: ScenarioContext, line: Line, dead: boolean): void {
  findEndpoint(context, line).dead = dead;
  context.world.publishVms();
}

function setVmList({ world }: ScenarioContext, line: Line): void {
  const mode = word(line, 1, "frozen, normal, down, empty, from or lag");
  world.vmList.down = mode === "down";
  world.vmList.empty = mode === "empty";
  world.vmList.frozenAt = mode === "frozen"
    ? world.time.now - world.vmList.lagMs
    : undefined;
  if (mode === "from") {
    world.vmList.frozenAt = world.startOfScript +
      parseTime(line, line.words[2]);
  }
  if (mode === "lag") {
    world.vmList.lagMs = parseTime(line, line.words[2]);
  }
}

/**
 * `publish SECTION[/NAME] KEY=VALUE...`, `publish remove SECTION/NAME`, or `publish bad` for a text that
 * does not parse.
 */
function publish({ world, text }: ScenarioContext, line: Line): void {
  const target = word(line, 1, "a section, bad or remove");
  if (target === "bad") {
    world.configuration.publish(`${text}\n[nonsense\n`);
    return;
  }
  const section = (target === "remove" ? word(line, 2, "a section") : target)
    .replace("/", " ");
  if (target === "remove") {
    text.remove(section);
  } else {
    text.set(section, pairs(line));
  }
  if ("home" in pairs(line)) {
    const customer = section.replace("customer ", "");
    world.customersChangingHome.add(customer);
    world.time.after(
      parseTime(line, option(line, "within", "3s")),
      () => world.customersChangingHome.delete(customer),
    );
  }
  world.configuration.publish(text.toString());
}

function findEndpoint(
  { world }: Pick<ScenarioContext, "world">,
  line: Line,
): FakeEndpoint {
  const endpoint = world.endpoints.get(word(line, 1, "an endpoint"));
  if (endpoint === undefined) {
    throw new ScriptError(line, "an endpoint of the scenario");
  }
  return endpoint;
}
