/**
 * What a scenario expects, and what must hold in every one.
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
import type { SeenCall } from "./route_types.ts";
import type { RouteWorld } from "./route_world.ts";
import { checkTerms } from "./terms_expectations.ts";

const KEY_LIFETIME_MS = 5_000;
const BURST_WINDOW_MS = 1_000;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

type Check = (world: RouteWorld, line: Line) => string | undefined;

const CHECKS: Readonly<Record<string, Check>> = {
  /** `expect call NAME [status N] [runs N] [by BACKEND] [events N] [complete|broken|open] [within T] [retry]` */
  call: (world, line) => checkCall(world, line),
  /** `expect load NAME served N` or `refused N`: at least so many. */
  load: (world, line) => checkLoad(world, line),
  /** `expect refused NAME N within T`: so many of a load were refused in that time, with one to come back. */
  refused: (world, line) => {
    const prefix = `${word(line, 1, "a load")}-`;
    const time = parseTime(line, option(line, "within", ""));
    const found = [...world.calls.values()].filter((
      { name, status, retryAfter, sentAt, endedAt },
    ) =>
      name.startsWith(prefix) && status === 503 && (retryAfter ?? 0) > 0 &&
      (endedAt ?? Infinity) - sentAt <= time
    ).length;
    const least = Number(word(line, 2, "a number"));
    return found >= least ? undefined : `${found} refused, at least ${least}`;
  },
  /** `expect names ENTRY ZONE HOST LIST` */
  names: (world, line) => {
    const found = world.named(word(line, 1, "an entry"), {
      zone: word(line, 2, "a zone"),
      host: word(line, 3, "a host"),
    }).join(",") || "none";
    return differs("names", found, word(line, 4, "a list"));
  },
  /** `expect version ENTRY N` */
  version: (world, line) => {
    const gateway = world.entries.get(word(line, 1, "an entry"))?.gateway;
    const found = String(gateway?.catalogue.document?.version ?? 0);
    return differs("version", found, word(line, 2, "a version"));
  },
  /** `expect in_force ENTRY,...`: each holds what the store holds. */
  in_force: (world, line) => {
    for (const name of word(line, 1, "entries").split(",")) {
      const gateway = world.entries.get(name)!.gateway!;
      const missing = world.store.missingAt(gateway.catalogue);
      if (missing !== undefined) {
        return `${name} holds ${missing}`;
      }
    }
    return undefined;
  },
  /** `expect burst BACKEND N`: at most so many requests in any second. */
  burst: (world, line) => {
    const backend = world.backends.get(word(line, 1, "a backend"))!;
    const most = Number(word(line, 2, "a number"));
    const found = largestBurst(backend.arrivals);
    return found <= most ? undefined : `burst ${found}, at most ${most}`;
  },
  /** `expect rate BACKEND N from T to T`: at most so many requests in any second of that span. */
  rate: (world, line) => {
    const backend = world.backends.get(word(line, 1, "a backend"))!;
    const most = Number(word(line, 2, "a number"));
    const found = largestBurst(backend.arrivals.filter(within(world, line)));
    return found <= most ? undefined : `${found} in a second`;
  },
  /** `expect used BACKEND N from T to T`: at least so many requests in that span. */
  used: (world, line) => {
    const backend = world.backends.get(word(line, 1, "a backend"))!;
    const found = backend.arrivals.filter(within(world, line)).length;
    const least = Number(word(line, 2, "a number"));
    return found >= least ? undefined : `${found} came, at least ${least}`;
  },
  /** `expect quiet BACKEND since T [most N]`: nothing arrived later, or so many at the most. */
  quiet: (world, line) => {
    const backend = world.backends.get(word(line, 1, "a backend"))!;
    const since = world.startOfScript +
      parseTime(line, option(line, "since", ""));
    const late = backend.arrivals.filter((at) => at > since).length;
    const most = Number(option(line, "most", "0"));
    return late <= most ? undefined : `${late} requests came later`;
  },
  /** `expect arrivals BACKEND... between A B` */
  arrivals: (world, line) => {
    const end = line.words.indexOf("between");
    const found = line.words.slice(1, end).reduce(
      (sum, name) => sum + world.backends.get(name)!.arrivals.length,
      0,
    );
    const [least, most] = line.words.slice(end + 1).map(Number);
    return found >= least! && found <= most!
      ? undefined
      : `${found} arrivals, from ${least} to ${most} expected`;
  },
  /** `expect poison BODY sends N ends N`: at most so many, after it had to be known and in all. */
  poison: ({ crashes }, line) => {
    const body = word(line, 1, "a body");
    const sends = crashes.lateSends(body);
    const ends = crashes.poisons.get(body)!.ends.length;
    const tooMany = sends > Number(option(line, "sends", "Infinity")) ||
      ends > Number(option(line, "ends", "Infinity"));
    return tooMany ? `${sends} sends, ${ends} ends` : undefined;
  },
  /** `expect held NAME... N`: so many of the calls that begin so were refused as held back. */
  held: (world, line) => {
    const names = line.words.slice(1, -1);
    const found = heldCalls(world).filter((call) =>
      names.some((name) => call.startsWith(name))
    );
    const wanted = Number(line.words.at(-1));
    return found.length === wanted
      ? undefined
      : `${found.length} held back: ${found.join()}`;
  },
  /** `expect later CALL T`: it was told to come back no earlier. */
  later: (world, line) => {
    const found = world.calls.get(word(line, 1, "a call"))?.retryAfter ?? 0;
    return found >= parseTime(line, line.words[2])
      ? undefined
      : `told to come back after ${found} ms`;
  },
  /** `expect ended ENTRY`: its process is over. */
  ended: (world, line) =>
    world.entries.get(word(line, 1, "an entry"))?.alive === false
      ? undefined
      : "the entry still runs",
};

/** Tells what is wrong, `undefined` where the expectation holds. */
export function checkRoutes(world: RouteWorld, line: Line): string | undefined {
  const words = line.words.slice(1);
  const check = CHECKS[words[0] ?? ""];
  if (check === undefined) {
    throw new ScriptError(line, `expect ${Object.keys(CHECKS).join(", ")}`);
  }
  const wrong = check(world, { number: line.number, words });
  return wrong === undefined
    ? undefined
    : `Line ${line.number} "${line.words.join(" ")}": ${wrong}`;
}

/** Whether an instant lies in the span `from T to T`. */
function within(
  { startOfScript }: RouteWorld,
  line: Line,
): (at: number) => boolean {
  const from = startOfScript + parseTime(line, option(line, "from", ""));
  const to = startOfScript + parseTime(line, option(line, "to", ""));
  return (at) => at >= from && at < to;
}

/** What must hold whatever happens. */
export function findViolations(world: RouteWorld): string[] {
  const calls = [...world.calls.values()].flatMap((call) => [
    ...checkOnce(world, call),
    ...checkRefusal(world, call),
    ...checkHome(world, call),
    ...checkOrder(call),
    ...checkAttempts(world, call),
    ...checkKey(world, call),
  ]);
  const terms = [...world.backends.values()].flatMap((backend) =>
    checkTerms(backend, world.time.now)
  );
  return [...calls, ...checkPoisons(world), ...terms];
}

/** Calls that an entry refused because what they carry is held back. */
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
  const took = (call.endedAt ?? Infinity) - call.sentAt;
  const state = call.ended ?? "open";
  const wanted = line.words.find((item) =>
    item === "complete" || item === "broken" || item === "open"
  );
  const retry = line.words.includes("retry");
  return [
    compare(line, "status", String(call.status ?? "none")),
    compare(line, "runs", String(runs.length)),
    compare(line, "customer", runs.at(-1)?.customer ?? "none"),
    compare(line, "by", runs.at(-1)?.backend ?? "none"),
    compare(line, "events", String(call.events.length)),
    wanted === undefined ? undefined : differs("state", state, wanted),
    line.words.includes("within") &&
      took > parseTime(line, option(line, "within", ""))
      ? `took ${took} ms`
      : undefined,
    retry && !((call.retryAfter ?? 0) > 0) ? "no time to come back" : undefined,
  ].find((wrong) => wrong !== undefined);
}

function checkLoad(world: RouteWorld, line: Line): string | undefined {
  const prefix = `${word(line, 1, "a load")}-`;
  const calls = [...world.calls.values()].filter(({ name }) =>
    name.startsWith(prefix)
  );
  const served =
    calls.filter(({ status, ended }) => status === 200 && ended === "complete")
      .length;
  const least = Number(option(line, "served", "0"));
  const cut = calls.filter(({ ended }) => ended === "broken").length;
  const mostCut = Number(option(line, "cut", "Infinity"));
  return served < least
    ? `${served} of ${calls.length} served`
    : cut > mostCut
    ? `${cut} cut off`
    : undefined;
}

function compare(line: Line, key: string, found: string): string | undefined {
  return line.words.includes(key)
    ? differs(key, found, option(line, key, ""))
    : undefined;
}

function differs(
  what: string,
  found: string,
  expected: string,
): string | undefined {
  return found === expected
    ? undefined
    : `${what} ${found}, expected ${expected}`;
}

function checkOnce(world: RouteWorld, { name, route }: SeenCall): string[] {
  const known = world.store.routes.get(route);
  const runs = world.runs.filter(({ call }) => call === name).length;
  return known !== undefined && !mayRepeat(known) && runs > 1
    ? [`Call ${name} ran ${runs} times`]
    : [];
}

function checkRefusal(world: RouteWorld, call: SeenCall): string[] {
  const ran = world.runs.some(({ call: name }) => name === call.name);
  const known = world.store.routes.get(call.route);
  return ran && known !== undefined && !mayRepeat(known) &&
      NOT_RUN_STATUSES.has(call.status ?? 0)
    ? [`Call ${call.name} was refused with ${call.status} and ran`]
    : [];
}

function checkHome(world: RouteWorld, { name, route }: SeenCall): string[] {
  const known = world.store.routes.get(route);
  return world.runs.filter(({ call }) => call === name).flatMap((run) => {
    const { region } = world.backends.get(run.backend)!.spot;
    return known === undefined || mayServe(known, region as RegionId)
      ? []
      : [`Call ${name} ran in ${region}`];
  });
}

/** A key that was taken away opens nothing after its time, and endpoints are told its customer alone. */
function checkKey(
  world: RouteWorld,
  { name, key, sentAt }: SeenCall,
): string[] {
  if (key === undefined) {
    return [];
  }
  const takenAt = world.store.takenAt.get(keyDigest(key)) ?? Infinity;
  const runs = world.runs.filter(({ call }) => call === name);
  return runs.length > 0 && sentAt > takenAt + KEY_LIFETIME_MS
    ? [`Call ${name} ran ${sentAt - takenAt} ms after its key was taken away`]
    : runs.some(({ customer }) => customer === undefined || customer === key)
    ? [`Call ${name} ran without its customer's name`]
    : [];
}

function checkOrder({ name, events }: SeenCall): string[] {
  return events.every((id, index) => id === index + 1)
    ? []
    : [`Call ${name} got events ${events.join()}`];
}

function checkAttempts(world: RouteWorld, { name, route }: SeenCall): string[] {
  const allowed = world.store.routes.get(route)?.attempts ?? Infinity;
  const used = world.runs.filter(({ call }) => call === name).length;
  return used <= allowed ? [] : [`Call ${name} ran ${used} times`];
}

function largestBurst(arrivals: readonly number[]): number {
  return mostWithin(arrivals, BURST_WINDOW_MS);
}
