/**
 * Checks of the expectations in a scenario, and of the invariants that hold in every scenario.
 *
 * @module
 */
import {
  keyDigest,
  mayRepeat,
  mayServe,
  type RegionId,
} from "@sassafrasstep/core";
import {
  type Line,
  option,
  parseTime,
  ScriptError,
  word,
} from "../scenario/script.ts";
import { mostWithin } from "../client/most_within.ts";
import { checkPoisons } from "./crashes.ts";
import { checkRetries, countRetries } from "./retry_expectations.ts";
import type { ObservedCall } from "./route_types.ts";
import type { RouteWorld } from "./route_world.ts";
import {
  checkOneVersion,
  checkResumption,
  checkTakenUp,
} from "./stream_expectations.ts";
import { checkTerms } from "./terms_expectations.ts";

const KEY_LIFETIME_MS = 5_000;
const BURST_WINDOW_MS = 1_000;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

type Check = (world: RouteWorld, line: Line) => string | undefined;

const CHECKS: Readonly<Record<string, Check>> = {
  /** `expect call NAME [status N] [runs N] [by BACKEND] [events N] [complete|broken|open] [within T] [retry]` */
  call: (world, line) => checkCall(world, line),
  /**
   * `expect load NAME [served N] [cut N] [from T to T]`: the least number served and the most answers that broke off, of
   * the calls sent in a time span.
   */
  load: (world, line) => checkLoad(world, line),
  /** `expect refused NAME N within T`: at least N calls of a load were refused within T with a retry time. */
  refused: (world, line) => {
    const prefix = `${word(line, 1, "a load")}-`;
    const time = parseTime(line, option(line, "within", ""));
    const found = [...world.calls.values()].filter((
      { name, status, retryAfter, sentAt, endedAt },
    ) =>
      name.startsWith(prefix) && status === 503 && (retryAfter ?? 0) > 0 &&
      (endedAt ?? Infinity) - sentAt <= time
    ).length;
    const min = Number(word(line, 2, "a number"));
    return found >= min ? undefined : `${found} refused, at least ${min}`;
  },
  /** `expect names ENTRY ZONE HOST LIST`: the entries named to a caller in a zone, or `none`. */
  names: (world, line) => {
    const found = world.resolveEntries(word(line, 1, "an entry"), {
      zone: word(line, 2, "a zone"),
      host: word(line, 3, "a host"),
    }).join(",") || "none";
    return describeMismatch("names", found, word(line, 4, "a list"));
  },
  /** `expect version ENTRY N`: the document version that an entry holds, 0 if it holds none. */
  version: (world, line) => {
    const gateway = world.entries.get(word(line, 1, "an entry"))?.gateway;
    const found = String(gateway?.catalogue.document?.version ?? 0);
    return describeMismatch("version", found, word(line, 2, "a version"));
  },
  /** `expect in_force ENTRY,...`: the catalogue of each entry equals the store's. */
  in_force: (world, line) => {
    for (const name of word(line, 1, "entries").split(",")) {
      const gateway = world.entries.get(name)!.gateway!;
      const difference = world.store.findDifference(gateway.catalogue);
      if (difference !== undefined) {
        return `${name} holds ${difference}`;
      }
    }
    return undefined;
  },
  /** `expect burst BACKEND N`: at most N requests arrived in any second. */
  burst: (world, line) => {
    const backend = world.backends.get(word(line, 1, "a backend"))!;
    const max = Number(word(line, 2, "a number"));
    const found = largestBurst(backend.arrivals);
    return found <= max ? undefined : `burst ${found}, at most ${max}`;
  },
  /** `expect rate BACKEND N from T to T`: at most N requests arrived in any second of a time span. */
  rate: (world, line) => {
    const backend = world.backends.get(word(line, 1, "a backend"))!;
    const max = Number(word(line, 2, "a number"));
    const found = largestBurst(
      backend.arrivals.filter(isWithinSpan(world, line)),
    );
    return found <= max ? undefined : `${found} requests in one second`;
  },
  /** `expect used BACKEND N from T to T`: at least N requests arrived in a time span. */
  used: (world, line) => {
    const backend = world.backends.get(word(line, 1, "a backend"))!;
    const found = backend.arrivals.filter(isWithinSpan(world, line)).length;
    const min = Number(word(line, 2, "a number"));
    return found >= min ? undefined : `${found} arrived, at least ${min}`;
  },
  /** `expect quiet BACKEND since T [most N]`: at most N requests, by default none, arrived after T. */
  quiet: (world, line) => {
    const backend = world.backends.get(word(line, 1, "a backend"))!;
    const since = world.startOfScript +
      parseTime(line, option(line, "since", ""));
    const late = backend.arrivals.filter((at) => at > since).length;
    const max = Number(option(line, "most", "0"));
    return late <= max ? undefined : `${late} requests arrived later`;
  },
  /** `expect arrivals BACKEND... between A B`: the backends together received from A to B requests. */
  arrivals: (world, line) => {
    const end = line.words.indexOf("between");
    const found = line.words.slice(1, end).reduce(
      (sum, name) => sum + world.backends.get(name)!.arrivals.length,
      0,
    );
    const [min, max] = line.words.slice(end + 1).map(Number);
    return found >= min! && found <= max!
      ? undefined
      : `${found} arrivals, from ${min} to ${max} expected`;
  },
  /** `expect cancelled BACKEND N`: the connections of exactly N requests were closed while the backend had them. */
  cancelled: (world, line) =>
    describeMismatch(
      "cancelled",
      String(world.backends.get(word(line, 1, "a backend"))!.cancelledRuns),
      word(line, 2, "a number"),
    ),
  /** `expect poison NAME [sends N] [ends N]`: the most sends after it should be detected, and crashes in all. */
  poison: ({ crashes }, line) => {
    const name = word(line, 1, "a body or a part");
    const sends = crashes.lateSends(name);
    const crashCount = crashes.poisons.get(name)!.crashTimes.length;
    const tooMany = sends > Number(option(line, "sends", "Infinity")) ||
      crashCount > Number(option(line, "ends", "Infinity"));
    return tooMany ? `${sends} sends, ${crashCount} crashes` : undefined;
  },
  /** `expect retries SERVICE N from T to T`: the service got at least N retries in a time span. */
  retries: (world, line) => {
    const at = (key: string): number =>
      world.startOfScript + parseTime(line, option(line, key, ""));
    const service = word(line, 1, "a service");
    const span = { service, from: at("from"), to: at("to") };
    const found = countRetries(world, span);
    const min = Number(word(line, 2, "a number"));
    return found >= min ? undefined : `${found} retries, at least ${min}`;
  },
  taken_up: (world, line) => checkTakenUp(world, line),
  /** `expect relays most N`: at most N requests were sent on to other entries. */
  relays: ({ links }, line) =>
    links.relays <= Number(option(line, "most", ""))
      ? undefined
      : `${links.relays} relays`,
  /** `expect held PREFIX... N`: exactly N calls with names of these prefixes were refused as held. */
  held: (world, line) => {
    const names = line.words.slice(1, -1);
    const found = heldCalls(world).filter((call) =>
      names.some((name) => call.startsWith(name))
    );
    const expected = Number(line.words.at(-1));
    return found.length === expected
      ? undefined
      : `${found.length} held: ${found.join()}`;
  },
  /** `expect later CALL T`: the call was told to retry no earlier than after T. */
  later: (world, line) => {
    const found = world.calls.get(word(line, 1, "a call"))?.retryAfter ?? 0;
    return found >= parseTime(line, line.words[2])
      ? undefined
      : `told to retry after ${found} ms`;
  },
  /** `expect ended ENTRY`: the entry's process has ended. */
  ended: (world, line) =>
    world.entries.get(word(line, 1, "an entry"))?.alive === false
      ? undefined
      : "the entry is still running",
};

/** Describes why an expectation fails, `undefined` if it holds. */
export function checkExpectation(
  world: RouteWorld,
  line: Line,
): string | undefined {
  const words = line.words.slice(1);
  const check = CHECKS[words[0] ?? ""];
  if (check === undefined) {
    throw new ScriptError(line, `expect ${Object.keys(CHECKS).join(", ")}`);
  }
  const problem = check(world, { number: line.number, words });
  return problem === undefined
    ? undefined
    : `Line ${line.number} "${line.words.join(" ")}": ${problem}`;
}

/** Returns a predicate that tells whether an instant lies in the span `from T to T`. */
function isWithinSpan(
  { startOfScript }: RouteWorld,
  line: Line,
): (at: number) => boolean {
  const from = startOfScript + parseTime(line, option(line, "from", ""));
  const to = startOfScript + parseTime(line, option(line, "to", ""));
  return (at) => at >= from && at < to;
}

/** Checks the invariants of every scenario and describes each violation. */
export function findViolations(world: RouteWorld): string[] {
  const calls = [...world.calls.values()].flatMap((call) => [
    ...checkNotRepeated(world, call),
    ...checkRefusal(world, call),
    ...checkRegion(world, call),
    ...checkEventOrder(call),
    ...checkResumption(world, call),
    ...checkAttempts(world, call),
    ...checkCustomerKey(world, call),
  ]);
  const terms = [...world.backends.values()].flatMap((backend) =>
    checkTerms(backend, world.time.now)
  );
  return [
    ...calls,
    ...checkOneVersion(world),
    ...checkRetries(world),
    ...checkPoisons(world),
    ...terms,
  ];
}

/** Returns the calls that an entry refused because their body is held in quarantine. */
export function heldCalls({ log }: RouteWorld): string[] {
  const refused = log.filter(({ text, fields }) =>
    text === "call: Request is refused." && fields.reason === "held"
  );
  return [...new Set(refused.map(({ fields }) => String(fields.call)))];
}

function checkCall(world: RouteWorld, line: Line): string | undefined {
  const name = word(line, 1, "a call");
  const call = world.calls.get(name);
  if (call === undefined) {
    return "no such call";
  }
  const runs = world.runs.filter((run) => run.call === name);
  const durationMs = (call.endedAt ?? Infinity) - call.sentAt;
  const state = call.ended ?? "open";
  const expectedState = line.words.find((item) =>
    item === "complete" || item === "broken" || item === "open"
  );
  const retry = line.words.includes("retry");
  return [
    compareOption(line, "status", String(call.status ?? "none")),
    compareOption(line, "runs", String(runs.length)),
    compareOption(line, "customer", runs.at(-1)?.customer ?? "none"),
    compareOption(line, "by", runs.at(-1)?.backend ?? "none"),
    compareOption(line, "events", String(call.events.length)),
    expectedState === undefined
      ? undefined
      : describeMismatch("state", state, expectedState),
    line.words.includes("within") &&
      durationMs > parseTime(line, option(line, "within", ""))
      ? `took ${durationMs} ms`
      : undefined,
    retry && !((call.retryAfter ?? 0) > 0) ? "no retry time" : undefined,
  ].find((problem) => problem !== undefined);
}

function checkLoad(world: RouteWorld, line: Line): string | undefined {
  const prefix = `${word(line, 1, "a load")}-`;
  const isInSpan = line.words.includes("from")
    ? isWithinSpan(world, line)
    : () => true;
  const calls = [...world.calls.values()].filter(({ name, sentAt }) =>
    name.startsWith(prefix) && isInSpan(sentAt)
  );
  const servedCount =
    calls.filter(({ status, ended }) => status === 200 && ended === "complete")
      .length;
  const min = Number(option(line, "served", "0"));
  const brokenCount = calls.filter(({ ended }) => ended === "broken").length;
  const maxBroken = Number(option(line, "cut", "Infinity"));
  return servedCount < min
    ? `${servedCount} of ${calls.length} served`
    : brokenCount > maxBroken
    ? `${brokenCount} broken off`
    : undefined;
}

function compareOption(
  line: Line,
  key: string,
  actual: string,
): string | undefined {
  return line.words.includes(key)
    ? describeMismatch(key, actual, option(line, key, ""))
    : undefined;
}

function describeMismatch(
  subject: string,
  actual: string,
  expected: string,
): string | undefined {
  return actual === expected
    ? undefined
    : `${subject} ${actual}, expected ${expected}`;
}

function checkNotRepeated(
  world: RouteWorld,
  { name, route }: ObservedCall,
): string[] {
  const routeConfig = world.store.routes.get(route);
  const runs = world.runs.filter(({ call }) => call === name).length;
  return routeConfig !== undefined && !mayRepeat(routeConfig) && runs > 1
    ? [`Call ${name} ran ${runs} times`]
    : [];
}

function checkRefusal(world: RouteWorld, call: ObservedCall): string[] {
  const ran = world.runs.some(({ call: name }) => name === call.name);
  const routeConfig = world.store.routes.get(call.route);
  return ran && routeConfig !== undefined && !mayRepeat(routeConfig) &&
      NOT_RUN_STATUSES.has(call.status ?? 0)
    ? [`Call ${call.name} was refused with ${call.status} and ran`]
    : [];
}

function checkRegion(
  world: RouteWorld,
  { name, route }: ObservedCall,
): string[] {
  const routeConfig = world.store.routes.get(route);
  return world.runs.filter(({ call }) => call === name).flatMap((run) => {
    const { region } = world.backends.get(run.backend)!.spot;
    return routeConfig === undefined ||
        mayServe(routeConfig, region as RegionId)
      ? []
      : [`Call ${name} ran in ${region}`];
  });
}

/**
 * Checks that a removed key admits no request after its lifetime, and that endpoints get the customer's
 * name instead of the key.
 */
function checkCustomerKey(
  world: RouteWorld,
  { name, key, sentAt }: ObservedCall,
): string[] {
  if (key === undefined) {
    return [];
  }
  const removedAt = world.store.keyRemovedAt.get(keyDigest(key)) ?? Infinity;
  const runs = world.runs.filter(({ call }) => call === name);
  return runs.length > 0 && sentAt > removedAt + KEY_LIFETIME_MS
    ? [`Call ${name} ran ${sentAt - removedAt} ms after its key was removed`]
    : runs.some(({ customer }) => customer === undefined || customer === key)
    ? [`Call ${name} ran without its customer's name`]
    : [];
}

function checkEventOrder(
  { name, events, resumption }: ObservedCall,
): string[] {
  const first = (resumption?.after ?? 0) + 1;
  return events.every((id, index) => id === first + index)
    ? []
    : [`Call ${name} got events ${events.join()}`];
}

function checkAttempts(
  world: RouteWorld,
  { name, route }: ObservedCall,
): string[] {
  const allowed = world.store.routes.get(route)?.attempts ?? Infinity;
  const used = world.runs.filter(({ call }) => call === name).length;
  return used <= allowed ? [] : [`Call ${name} ran ${used} times`];
}

function largestBurst(arrivals: readonly number[]): number {
  return mostWithin(arrivals, BURST_WINDOW_MS);
}
