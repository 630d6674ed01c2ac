/**
 * Parser of the scenario language, which has one statement per line.
 *
 * - `region NAME ZONE...`, `entry NAME ZONE`, `customer NAME home REGION [free] [rate N]`
 * - `service NAME KEY=VALUE...`, `engine NAME ZONE SERVICE [OPTION VALUE]...`, `plain NAME ZONE SERVICE ...`
 * - `use NAME`: includes the lines of `NAME.setting`
 * - `epoch TIME`, `deployment KEY=VALUE...`
 * - `at TIME ACTION...` and `at TIME expect ...`
 *
 * `#` begins a comment. Times are `250ms`, `3s` or `2m`.
 *
 * @module
 */

/** One line, split into words. */
export interface Line {
  readonly number: number;
  readonly words: readonly string[];
}

/** A step and the time at which it runs, in milliseconds. */
export interface TimedLine extends Line {
  readonly at: number;
}

/** A parsed script. `setting` holds the lines that are not steps. */
export interface Script {
  readonly title: string;
  readonly setting: readonly Line[];
  readonly steps: readonly TimedLine[];
}

/** A line that cannot be parsed. */
export class ScriptError extends Error {
  override readonly name = "ScriptError";

  constructor(line: Line, expected: string) {
    super(
      `Cannot read line ${line.number} "${
        line.words.join(" ")
      }": expected ${expected}`,
    );
  }
}

const UNITS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000 };

/** Parses a text into its setting and its steps, sorted by time. */
export function parseScript(text: string): Script {
  const lines = text.split("\n").map((raw, index): Line => ({
    number: index + 1,
    words: raw.replace(/(^|\s)#.*$/, "").trim().split(/\s+/).filter(Boolean),
  })).filter(({ words }) => words.length > 0);
  const title =
    lines.find(({ words }) => words[0] === "title")?.words.slice(1).join(" ") ??
      "";
  const rest = lines.filter(({ words }) => words[0] !== "title");
  const steps = rest.filter(({ words }) => words[0] === "at").map((
    line,
  ): TimedLine => ({
    number: line.number,
    at: parseTime(line, line.words[1]),
    words: line.words.slice(2),
  }));
  const setting = rest.filter(({ words }) => words[0] !== "at");
  return {
    title,
    setting,
    steps: steps.sort((left, right) =>
      left.at - right.at || left.number - right.number
    ),
  };
}

/** Converts a time such as `3s` to milliseconds. */
export function parseTime(line: Line, text: string | undefined): number {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m)$/.exec(text ?? "");
  if (match === null) {
    throw new ScriptError(line, "a time such as 250ms, 3s or 2m");
  }
  return Number(match[1]) * UNITS[match[2]!]!;
}

/** Returns the word after `name`, or a default if `name` is absent. */
export function option(line: Line, name: string, defaultValue: string): string {
  const index = line.words.indexOf(name);
  return index < 0
    ? defaultValue
    : word(line, index + 1, `a value after ${name}`);
}

/** Returns the word at an index; throws if it is missing. */
export function word(line: Line, index: number, expected: string): string {
  const found = line.words[index];
  if (found === undefined) {
    throw new ScriptError(line, expected);
  }
  return found;
}

/** Parses all `key=value` words. A comma in a value becomes a comma and a space. */
export function pairs(line: Line): Record<string, string> {
  const found = line.words.filter((item) => item.includes("=")).map(
    (item): [string, string] => {
      const at = item.indexOf("=");
      return [item.slice(0, at), item.slice(at + 1).replaceAll(",", ", ")];
    },
  );
  return Object.fromEntries(found);
}

/** Returns the setting lines, with each `use NAME` replaced by the lines of that setting. */
export function settingOf(
  script: Script,
  loadSetting: (name: string) => string,
): Line[] {
  return script.setting.flatMap((line) =>
    line.words[0] === "use"
      ? parseScript(loadSetting(word(line, 1, "a setting"))).setting
      : [line]
  );
}
