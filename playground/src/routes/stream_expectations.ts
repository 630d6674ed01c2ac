/**
 * Checks that streams hold events of one software version, and that callers can take them up.
 *
 * @module
 */
import { type Line, option, parseTime, word } from "../scenario/script.ts";
import type { ObservedCall } from "./route_types.ts";
import type { RouteWorld } from "./route_world.ts";

const OK = 200;
/** Status after the entry to which a request was relayed has ended: it may have run. */
const MAY_HAVE_RUN = 502;
/** Statuses with which an entry states that a request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([400, 503]);

/** Checks that the events of each stream come from one software version, over all requests of its caller. */
export function checkOneVersion({ calls }: RouteWorld): string[] {
  const versionsByRoot = new Map<string, Set<string>>();
  for (const { name, resumption, versions } of calls.values()) {
    const root = resumption?.root ?? name;
    const known = versionsByRoot.get(root) ?? new Set<string>();
    versions.forEach((version) => known.add(version));
    versionsByRoot.set(root, known);
  }
  return [...versionsByRoot].filter(([, versions]) => versions.size > 1).map(
    ([root, versions]) =>
      `Stream ${root} has events of ${[...versions].join(" and ")}`,
  );
}

/** Checks that a stream that was refused when its caller took it up did not run. */
export function checkResumption(
  { runs }: RouteWorld,
  { name, resumption, status }: ObservedCall,
): string[] {
  const ran = runs.some(({ call }) => call === name);
  return resumption !== undefined && NOT_RUN_STATUSES.has(status ?? 0) && ran
    ? [`Call ${name} was refused with ${status} and ran`]
    : [];
}

/**
 * `expect taken_up NAME least N [share X] [refused N] [status N] [within T] [versions N]`: callers took streams of a
 * step up at least `least` times. At least the share of them went on, and exactly `refused` were refused, each with
 * this status and within this time. Those in flight at an entry that ended don't count. The streams have events of `versions` software versions at least.
 */
export function checkTakenUp(
  world: RouteWorld,
  line: Line,
): string | undefined {
  const prefix = `${word(line, 1, "streams")}-`;
  const streams = [...world.calls.values()].filter(({ name }) =>
    name.startsWith(prefix)
  );
  const takenUp = streams.filter(({ resumption }) => resumption !== undefined);
  const mayHaveRun = takenUp.filter(({ status }) => status === MAY_HAVE_RUN);
  const refused = takenUp.filter(({ status }) =>
    status !== OK && status !== MAY_HAVE_RUN
  );
  const limit = parseTime(line, option(line, "within", "1s"));
  const status = Number(option(line, "status", "503"));
  const wrong = refused.filter((call) =>
    call.status !== status || (call.endedAt ?? Infinity) - call.sentAt > limit
  );
  const versions = new Set(streams.flatMap((call) => [...call.versions]));
  const decided = takenUp.length - mayHaveRun.length;
  const holds = takenUp.length >= Number(option(line, "least", "1")) &&
    decided - refused.length >= Number(option(line, "share", "0")) * decided &&
    refused.length === Number(option(line, "refused", `${refused.length}`)) &&
    versions.size >= Number(option(line, "versions", "1")) &&
    wrong.length === 0;
  return holds
    ? undefined
    : `${takenUp.length} taken up, ${refused.length} refused, wrongly: "${
      wrong.map(({ name, status }) => `${name} ${status ?? "open"}`).join()
    }", versions ${[...versions].sort().join()}`;
}
