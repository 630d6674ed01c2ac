/**
 * `losses`: adds up the lines that entries write about requests served late or not at all.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { type CommandResult, EXIT, formatTable } from "../output/index.ts";

/** Ids of requests shown for each row, to look for in the lines. */
const EXAMPLES = 3;
const MS_PER_SECOND = 1_000;

/** One line about a request that was served badly. */
interface LossLine {
  readonly time: number;
  readonly region: string;
  /** Empty where the request was nobody's. */
  readonly customer: string;
  readonly route: string;
  readonly cause: string;
  readonly reason: string;
  readonly call: string;
  readonly waitedMs: number | undefined;
}

/** Losses of one cause and kind of request. */
export interface LossRow {
  readonly cause: string;
  /** Why the entry refused, where it did. */
  readonly reason: string;
  readonly route: string;
  readonly count: number;
  /** Mean time until it was sent, in milliseconds, of those that were. */
  readonly sentAfterMs: number | undefined;
  readonly examples: readonly string[];
}

/** Losses of one customer. */
export interface CustomerRow {
  readonly customer: string;
  readonly count: number;
  /** Causes, and the reason of a refusal, the most first. */
  readonly causes: readonly string[];
}

/** What `losses` adds up. */
export interface LossReport {
  readonly lines: number;
  readonly rows: readonly LossRow[];
  readonly regions: Readonly<Record<string, number>>;
  /** Customers with the most losses first; requests of nobody are not among them. */
  readonly customers: readonly CustomerRow[];
  /** Second of the entries' clocks with the most losses first. */
  readonly seconds: readonly {
    readonly second: string;
    readonly count: number;
  }[];
}

/** Reads collected lines of any number of entries. */
export function showLosses(files: readonly string[]): CommandResult {
  if (files.length === 0) {
    throw new Error("Cannot add up losses: name a file of collected lines");
  }
  const report = sumLosses(files.flatMap((file) => readLines(file)));
  return { text: describe(report), json: report, exitCode: EXIT.ok };
}

/** Adds up lines; what is no line about a loss is passed over. */
export function sumLosses(lines: readonly string[]): LossReport {
  const losses = lines.map(readLoss).filter((loss) => loss !== undefined);
  const groups = group(
    losses,
    ({ cause, reason, route }) => `${cause} ${reason} ${route}`,
  );
  const rows = [...groups.values()].map(rowOf);
  const seconds = group(losses, ({ time }) => secondOf(time));
  return {
    lines: losses.length,
    rows: rows.sort((left, right) => right.count - left.count),
    regions: Object.fromEntries(
      [...group(losses, ({ region }) => region)].map((
        [region, items],
      ) => [region, items.length]),
    ),
    customers: customerRows(losses),
    seconds: [...seconds].map(([second, items]) => ({
      second,
      count: items.length,
    })).sort((left, right) => right.count - left.count),
  };
}

function readLines(file: string): string[] {
  return readFileSync(file, "utf8").split("\n");
}

/** A collector may have put something before the line. */
function readLoss(line: string): LossLine | undefined {
  const start = line.indexOf("{");
  const fields = start < 0 ? undefined : parse(line.slice(start));
  if (fields === undefined || typeof fields["cause"] !== "string") {
    return undefined;
  }
  const textOf = (name: string): string => String(fields[name] ?? "");
  return {
    time: Number(fields["time"] ?? 0),
    region: textOf("region"),
    customer: textOf("customer"),
    route: textOf("route"),
    cause: fields["cause"],
    reason: textOf("reason"),
    call: textOf("call"),
    waitedMs: typeof fields["sentMs"] === "number"
      ? fields["sentMs"]
      : undefined,
  };
}

function parse(text: string): Record<string, unknown> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === "object" && value !== null
      ? value as Record<string, unknown>
      : undefined;
  } catch {
    // A line that was cut off, or another program's.
    return undefined;
  }
}

function group(
  losses: readonly LossLine[],
  keyOf: (loss: LossLine) => string,
): Map<string, LossLine[]> {
  const groups = new Map<string, LossLine[]>();
  for (const loss of losses) {
    const items = groups.get(keyOf(loss)) ?? [];
    items.push(loss);
    groups.set(keyOf(loss), items);
  }
  return groups;
}

function rowOf(losses: readonly LossLine[]): LossRow {
  const [{ cause, reason, route }] = losses as [LossLine, ...LossLine[]];
  const sent = losses.flatMap(({ waitedMs }) => waitedMs ?? []);
  return {
    cause,
    reason,
    route,
    count: losses.length,
    sentAfterMs: sent.length === 0
      ? undefined
      : Math.round(sent.reduce((sum, item) => sum + item, 0) / sent.length),
    examples: losses.slice(0, EXAMPLES).map(({ call }) => call),
  };
}

function customerRows(losses: readonly LossLine[]): CustomerRow[] {
  const named = losses.filter(({ customer }) => customer !== "");
  const groups = group(named, ({ customer }) => customer);
  return [...groups].map(([customer, items]) => ({
    customer,
    count: items.length,
    causes: causesOf(items),
  })).sort((left, right) => right.count - left.count);
}

function causesOf(losses: readonly LossLine[]): string[] {
  const groups = group(losses, ({ cause, reason }) => reason || cause);
  return [...groups].sort(([, left], [, right]) => right.length - left.length)
    .map(([cause, items]) => `${cause} ${items.length}`);
}

function secondOf(time: number): string {
  return new Date(Math.floor(time / MS_PER_SECOND) * MS_PER_SECOND)
    .toISOString().slice(0, 19);
}

function describe(
  { lines, rows, regions, customers, seconds }: LossReport,
): string {
  const head = `${lines} requests served late or not at all: ${
    Object.entries(regions).map(([region, count]) => `${region} ${count}`)
      .join(", ")
  }`;
  const worst = seconds.slice(0, EXAMPLES).map(({ second, count }) =>
    `${second} (${count})`
  );
  return [
    head,
    formatTable(
      ["CAUSE", "REASON", "ROUTE", "COUNT", "SENT AFTER MS", "EXAMPLES"],
      rows.map((row) => [
        row.cause,
        row.reason,
        row.route,
        row.count,
        row.sentAfterMs,
        row.examples.join(" "),
      ]),
    ),
    formatTable(
      ["CUSTOMER", "COUNT", "CAUSES"],
      customers.map(({ customer, count, causes }) => [
        customer,
        count,
        causes.slice(0, EXAMPLES).join(", "),
      ]),
    ),
    `worst seconds: ${worst.join(", ")}`,
  ].join("\n\n");
}
