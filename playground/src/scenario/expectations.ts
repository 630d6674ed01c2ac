/**
 * The expectations that a scenario's `expect` steps can state.
 *
 * @module
 */
import { type Line, option, parseTime, ScriptError, word } from "./script.ts";
import type { World } from "./world.ts";

/** Checks one `expect` line; returns a description of the failure, or `undefined` if it holds. */
export function checkExpectation(world: World, line: Line): string | undefined {
  const subject = word(line, 1, "a subject");
  const check = CHECKS[subject] ?? checkResult;
  const failure = check(world, line);
  return failure === undefined
    ? undefined
    : `line ${line.number} "${line.words.join(" ")}": ${failure}`;
}

type Check = (world: World, line: Line) => string | undefined;

const CHECKS: Readonly<Record<string, Check>> = {
  runs: checkRuns,
  endpoint: checkEndpoint,
  revision: checkRevision,
  newest: checkNewest,
  rejected: checkRejected,
  calls: checkCalls,
  entry: checkEntry,
  count: checkCount,
  poison: checkPoison,
};

/**
 * `expect NAME[*] FIELD VALUE...`: fields of callers' results. `VALUE` may list alternatives separated
 * by `|`. `before TIME` limits the time of the answer; `expect NAME unanswered` allows none.
 */
function checkResult(world: World, line: Line): string | undefined {
  const name = word(line, 1, "a caller");
  const { results } = world.requests;
  const found = name.endsWith("*")
    ? [...results.values()].filter((result) =>
      result.name.startsWith(name.slice(0, -1))
    )
    : [results.get(name)].filter((result) => result !== undefined);
  if (line.words[2] === "unanswered") {
    return found.length === 0
      ? undefined
      : `it was answered: ${JSON.stringify(found[0])}`;
  }
  if (found.length === 0) {
    return "no answer came";
  }
  for (const result of found) {
    for (let index = 2; index + 1 < line.words.length; index += 2) {
      const [field, value] = [line.words[index]!, line.words[index + 1]!];
      if (field === "before") {
        const at = result.at - world.startOfScript;
        if (at > parseTime(line, value)) {
          return `it was answered at ${at} ms`;
        }
        continue;
      }
      const actual = (result as unknown as Record<string, unknown>)[field];
      if (actual === undefined) {
        throw new ScriptError(line, `a field of an answer, not "${field}"`);
      }
      if (!value.split("|").includes(String(actual))) {
        return JSON.stringify(result);
      }
    }
  }
  return undefined;
}

/** `expect runs KEY N`: the key ran N times. */
function checkRuns(world: World, line: Line): string | undefined {
  const runs = world.countRuns(world.idempotencyKey(word(line, 2, "a key")));
  return String(runs) === word(line, 3, "a number")
    ? undefined
    : `it ran ${runs} times`;
}

/** `expect endpoint NAME runs N`, `... model NAME`, `... loads N`. */
function checkEndpoint(world: World, line: Line): string | undefined {
  const endpoint = world.endpoints.get(word(line, 2, "an endpoint"));
  if (endpoint === undefined) {
    throw new ScriptError(line, "an endpoint of the scenario");
  }
  const runs = [...endpoint.runs.values()].reduce(
    (sum, count) => sum + count,
    0,
  );
  const actual: Record<string, unknown> = {
    runs,
    model: endpoint.model,
    loads: endpoint.loads.length,
  };
  const field = word(line, 3, "a field");
  return String(actual[field]) === word(line, 4, "a value")
    ? undefined
    : `its ${field} is ${actual[field]}`;
}

/** `expect revision NAME|all N`: the entries hold configuration revision N. */
function checkRevision(world: World, line: Line): string | undefined {
  const name = word(line, 2, "an entry or all");
  const expected = word(line, 3, "a revision");
  const entries = world.entries().filter(({ id, dead }) =>
    !dead && (name === "all" || id === name)
  );
  const mismatched = entries.filter(({ core }) =>
    String(core.board.configuration.revision) !== expected
  );
  return mismatched.length === 0
    ? undefined
    : mismatched.map(({ id, core }) =>
      `${id} holds ${core.board.configuration.revision}`
    ).join(", ");
}

/**
 * `expect newest NAME|all [provable]`: the entries apply the newest text of the configuration service. With
 * `provable`, only if they can know that it is the newest.
 */
function checkNewest(world: World, line: Line): string | undefined {
  const name = word(line, 2, "an entry or all");
  if (
    line.words.includes("provable") && !world.configuration.isNewestProvable
  ) {
    return undefined;
  }
  const mismatched = world.entries().filter(({ id, dead, core }) =>
    !dead && (name === "all" || id === name) &&
    core.board.configuration.text !== world.configuration.newest
  );
  return mismatched.length === 0
    ? undefined
    : `${mismatched.map(({ id }) => id).join()} hold another text`;
}

/** `expect rejected all N`: all entries have rejected revision N. */
function checkRejected(world: World, line: Line): string | undefined {
  const expected = word(line, 3, "a revision");
  const mismatched = world.entries().filter(({ dead, core }) =>
    !dead &&
    String(core.board.configuration.rejected?.revision) !== expected
  );
  return mismatched.length === 0
    ? undefined
    : `${mismatched.map(({ id }) => id).join(", ")} did not reject it`;
}

/** `expect calls under N a second since TIME`: rate of calls to the configuration service. */
function checkCalls(world: World, line: Line): string | undefined {
  const limit = Number(option(line, "under", "0"));
  const since = parseTime(line, option(line, "since", "0s"));
  const counted = world.configuration.calls - world.configurationCallsAt(since);
  const perSecond = counted /
    Math.max(1, (world.time.now - world.startOfScript - since) / 1_000);
  return perSecond < limit
    ? undefined
    : `there were ${perSecond} calls a second`;
}

/** `expect entry NAME dead|PHASE`: the entry has crashed, or is in a phase of its lifecycle. */
function checkEntry(world: World, line: Line): string | undefined {
  const entry = world.entry(word(line, 2, "an entry"));
  const expected = word(line, 3, "dead or a phase");
  const actual = entry === undefined || entry.dead
    ? "dead"
    : entry.core.board.lifecycle.phase;
  return actual === expected ? undefined : `it is ${actual}`;
}

/**
 * `expect poison BODY sends N ends N`: at most N sends after the time limit for its detection, and at most
 * N crashes in total.
 */
function checkPoison({ poisons }: World, line: Line): string | undefined {
  const { sends, crashes } = poisons.counts(word(line, 2, "a body"));
  const tooMany = sends > Number(option(line, "sends", "Infinity")) ||
    crashes > Number(option(line, "ends", "Infinity"));
  return tooMany
    ? `${sends} sends after detection, ${crashes} crashes`
    : undefined;
}

/** `expect count PREFIX FIELD VALUE at least|at most N`: callers with this value, by name prefix. */
function checkCount(world: World, line: Line): string | undefined {
  const prefix = word(line, 2, "a prefix of callers");
  const [field, value] = [word(line, 3, "a field"), word(line, 4, "a value")];
  const least = Number(option(line, "least", "0"));
  const most = Number(option(line, "most", "1000000"));
  const count =
    [...world.requests.results.values()].filter((result) =>
      result.name.startsWith(prefix) &&
      String((result as unknown as Record<string, unknown>)[field]) === value
    ).length;
  return count >= least && count <= most ? undefined : `the count is ${count}`;
}
