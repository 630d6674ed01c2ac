/**
 * The command `losses`, which summarizes the log lines of entries about requests that were served late or
 * not at all.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import {
  type CommandResult,
  EXIT_CODES,
  formatTable,
} from "../output/index.ts";

/** Number of request ids per row to look for in the lines, of causes per customer and of worst seconds shown. */
const MAX_SHOWN = 3;
const MS_PER_SECOND = 1_000;

/** A log line about a request that was served late or not at all. */
interface LossRecord {
  readonly time: number;
  readonly region: string;
  /** Empty if the request belongs to no known customer. */
  readonly customer: string;
  readonly route: string;
  readonly cause: string;
  readonly reason: string;
  readonly call: string;
  readonly sentAfterMs: number | undefined;
}

/** Losses with the same cause, reason and route. */
export interface LossRow {
  readonly cause: string;
  /** Reason of the refusal, if the entry refused the request. */
  readonly reason: string;
  readonly route: string;
  readonly count: number;
  /** Mean time until the request was sent, in milliseconds, over those that were sent. */
  readonly sentAfterMs: number | undefined;
  readonly examples: readonly string[];
}

/** Losses of one customer. */
export interface CustomerRow {
  readonly customer: string;
  readonly count: number;
  /** Causes, or reasons of refusals, with their counts, most frequent first. */
  readonly causes: readonly string[];
}

/** The result of `losses`. */
export interface LossReport {
  readonly lines: number;
  readonly rows: readonly LossRow[];
  readonly regions: Readonly<Record<string, number>>;
  /** Customers with the most losses first. Requests without a customer are left out. */
  readonly customers: readonly CustomerRow[];
  /** Seconds by the entries' clocks, those with the most losses first. */
  readonly seconds: readonly {
    readonly second: string;
    readonly count: number;
  }[];
}

/** Summarizes the log lines collected from any number of entries. */
export function showLosses(files: readonly string[]): CommandResult {
  if (files.length === 0) {
    throw new Error("Cannot add up losses: name a file of collected lines");
  }
  const report = summarizeLosses(files.flatMap((file) => readLines(file)));
  return { text: formatReport(report), json: report, exitCode: EXIT_CODES.ok };
}

/** Summarizes lines. Lines that don't describe a loss are ignored. */
export function summarizeLosses(lines: readonly string[]): LossReport {
  const losses = lines.map(parseLossLine).filter((loss) => loss !== undefined);
  const groups = groupBy(
    losses,
    ({ cause, reason, route }) => `${cause} ${reason} ${route}`,
  );
  const rows = [...groups.values()].map(toLossRow);
  const seconds = groupBy(losses, ({ time }) => formatSecond(time));
  return {
    lines: losses.length,
    rows: rows.sort((left, right) => right.count - left.count),
    regions: Object.fromEntries(
      [...groupBy(losses, ({ region }) => region)].map((
        [region, items],
      ) => [region, items.length]),
    ),
    customers: toCustomerRows(losses),
    seconds: [...seconds].map(([second, items]) => ({
      second,
      count: items.length,
    })).sort((left, right) => right.count - left.count),
  };
}

function readLines(file: string): string[] {
  return readFileSync(file, "utf8").split("\n");
}

/** Parses a line, which a log collector may have prefixed. Returns `undefined` if it does not describe a loss. */
function parseLossLine(line: string): LossRecord | undefined {
  const start = line.indexOf("{");
  const fields = start < 0 ? undefined : parse(line.slice(start));
  if (fields === undefined || typeof fields["cause"] !== "string") {
    return undefined;
  }
  const stringField = (name: string): string => String(fields[name] ?? "");
  return {
    time: Number(fields["time"] ?? 0),
    region: stringField("region"),
    customer: stringField("customer"),
    route: stringField("route"),
    cause: fields["cause"],
    reason: stringField("reason"),
    call: stringField("call"),
    sentAfterMs: typeof fields["sentMs"] === "number"
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
    // The line was cut off, or another program wrote it.
    return undefined;
  }
}

function groupBy(
  losses: readonly LossRecord[],
  keyOf: (loss: LossRecord) => string,
): Map<string, LossRecord[]> {
  const groups = new Map<string, LossRecord[]>();
  for (const loss of losses) {
    const items = groups.get(keyOf(loss)) ?? [];
    items.push(loss);
    groups.set(keyOf(loss), items);
  }
  return groups;
}

function toLossRow(losses: readonly LossRecord[]): LossRow {
  const [{ cause, reason, route }] = losses as [LossRecord, ...LossRecord[]];
  const sentAfter = losses.flatMap(({ sentAfterMs }) => sentAfterMs ?? []);
  return {
    cause,
    reason,
    route,
    count: losses.length,
    sentAfterMs: sentAfter.length === 0 ? undefined : Math.round(
      sentAfter.reduce((sum, item) => sum + item, 0) / sentAfter.length,
    ),
    examples: losses.slice(0, MAX_SHOWN).map(({ call }) => call),
  };
}

function toCustomerRows(losses: readonly LossRecord[]): CustomerRow[] {
  const withCustomer = losses.filter(({ customer }) => customer !== "");
  const groups = groupBy(withCustomer, ({ customer }) => customer);
  return [...groups].map(([customer, items]) => ({
    customer,
    count: items.length,
    causes: countCauses(items),
  })).sort((left, right) => right.count - left.count);
}

function countCauses(losses: readonly LossRecord[]): string[] {
  const groups = groupBy(losses, ({ cause, reason }) => reason || cause);
  return [...groups].sort(([, left], [, right]) => right.length - left.length)
    .map(([cause, items]) => `${cause} ${items.length}`);
}

function formatSecond(time: number): string {
  return new Date(Math.floor(time / MS_PER_SECOND) * MS_PER_SECOND)
    .toISOString().slice(0, 19);
}

function formatReport(
  { lines, rows, regions, customers, seconds }: LossReport,
): string {
  const headline = `${lines} requests served late or not at all: ${
    Object.entries(regions).map(([region, count]) => `${region} ${count}`)
      .join(", ")
  }`;
  const worstSeconds = seconds.slice(0, MAX_SHOWN).map(({ second, count }) =>
    `${second} (${count})`
  );
  return [
    headline,
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
        causes.slice(0, MAX_SHOWN).join(", "),
      ]),
    ),
    `worst seconds: ${worstSeconds.join(", ")}`,
  ].join("\n\n");
}
