/**
 * Summarizes the outcomes of a load.
 *
 * @module
 */
import type { CustomerId } from "@sassafrasstep/core";
import type { LoadOutcome, RequestEnd } from "./load_types.ts";
import type { LoadResult } from "./load_run.ts";

const WINDOW_MS = 2_000;
const WORST_WINDOWS = 2;
/** Stands for requests without a customer: names of customers are not empty. */
const NO_CUSTOMER = "";
/** Share of the customers that count as the worst served. */
const WORST_CUSTOMER_SHARE = 0.1;
/** Share of the requests of a kind, counted from the largest, at which each size class ends. */
const SIZE_CLASS_ENDS = { largest: 0.1, large: 0.3, others: 1 } as const;
const ENDS: readonly RequestEnd[] = [
  "on_time",
  "late",
  "refused",
  "failed",
  "left",
];

/** Earned share of the value of a group of requests, with the counts of their ends. */
export interface LoadSummary {
  readonly requests: number;
  readonly earned: number;
  readonly ends: Readonly<Record<RequestEnd, number>>;
  /** Time to the first event, median and 95th percentile, in milliseconds. */
  readonly firstMedian: number;
  readonly firstP95: number;
  /** Mean time for which requests that ended refused were held at entries, in milliseconds. */
  readonly heldMean: number;
}

/** The largest tenth of the requests of a kind, the fifth below it, and the others. */
export type SizeClass = keyof typeof SIZE_CLASS_ENDS;

/** The summary of one run, in total and by kind, region and customer. */
export interface LoadReport {
  readonly all: LoadSummary;
  readonly kinds: Readonly<Record<string, LoadSummary>>;
  /** Share of the requests of each kind and size class that are served, on time or late. */
  readonly servedBySize: Readonly<Record<string, Record<SizeClass, number>>>;
  readonly regions: Readonly<Record<string, LoadSummary>>;
  readonly customers: Readonly<Record<string, LoadSummary>>;
  /** Mean earned share of the worst served tenth of the customers, 0 in a load without customers. */
  readonly worstCustomers: number;
  /** The same of the customers that sent no more than their usual. */
  readonly worstUsualCustomers: number;
  /** Mean earned share of the `WORST_WINDOWS` windows that earned least. */
  readonly worstWindows: number;
  /** Prompt tokens that engines prefilled, and that they found cached, in thousands. */
  readonly readThousands: number;
  readonly keptThousands: number;
  /** Share of the requests that entries relayed to another region, and of those that they relayed early. */
  readonly relayedShare: number;
  readonly earlyShare: number;
}

/** Summarizes a load's result. */
export function reportLoad(
  { outcomes, hotCustomers, engines, world }: LoadResult,
): LoadReport {
  const summarizeBy = (key: (outcome: LoadOutcome) => string) =>
    Object.fromEntries(
      [...new Set(outcomes.map(key))].sort().map((
        name,
      ) => [
        name,
        summarize(outcomes.filter((outcome) => key(outcome) === name)),
      ]),
    );
  const windows = Object.values(
    summarizeBy(({ at }) => String(Math.floor(at / WINDOW_MS))),
  ).map(({ earned }) => earned).sort((left, right) => left - right);
  const worstWindows = windows.slice(0, WORST_WINDOWS);
  const customers = summarizeBy(
    ({ customer }) => customer ?? NO_CUSTOMER,
  );
  delete customers[NO_CUSTOMER];
  const total = (count: (engine: (typeof engines)[number]) => number): number =>
    Math.round(engines.reduce((sum, engine) => sum + count(engine), 0) / 1_000);
  return {
    all: summarize(outcomes),
    kinds: summarizeBy(({ kind }) => kind),
    servedBySize: Object.fromEntries(
      [...new Set(outcomes.map(({ kind }) => kind))].sort().map((name) => [
        name,
        servedBySize(outcomes.filter(({ kind }) => kind === name)),
      ]),
    ),
    regions: summarizeBy(({ region }) => region),
    customers,
    worstCustomers: meanOfWorst(Object.values(customers)),
    worstUsualCustomers: meanOfWorst(
      Object.entries(customers).filter(([name]) =>
        !hotCustomers.has(name as CustomerId)
      ).map(([, summary]) => summary),
    ),
    worstWindows: worstWindows.reduce((sum, earned) => sum + earned, 0) /
      Math.max(1, worstWindows.length),
    readThousands: total(({ counts }) => counts.prefilledTokens),
    keptThousands: total(({ counts }) => counts.cachedTokens),
    relayedShare: world.links.relays / Math.max(1, outcomes.length),
    earlyShare: [...world.entries.values()].reduce(
      (sum, { gateway }) =>
        sum + (gateway?.earlyRelay.relay.counts.requests ?? 0),
      0,
    ) / Math.max(1, outcomes.length),
  };
}

function servedBySize(
  outcomes: readonly LoadOutcome[],
): Record<SizeClass, number> {
  const sorted = outcomes.toSorted((left, right) => right.size - left.size);
  let first = 0;
  return Object.fromEntries(
    Object.entries(SIZE_CLASS_ENDS).map(([name, share]) => {
      const end = Math.ceil(sorted.length * share);
      const group = sorted.slice(first, end);
      first = end;
      const served = group.filter(({ end }) =>
        end === "on_time" || end === "late"
      );
      return [name, served.length / Math.max(1, group.length)];
    }),
  ) as Record<SizeClass, number>;
}

function meanOfWorst(customers: readonly LoadSummary[]): number {
  const count = Math.ceil(customers.length * WORST_CUSTOMER_SHARE);
  const worst = customers.map(({ earned }) => earned)
    .sort((left, right) => left - right).slice(0, count);
  return worst.reduce((sum, earned) => sum + earned, 0) / Math.max(1, count);
}

function summarize(outcomes: readonly LoadOutcome[]): LoadSummary {
  const offered = outcomes.reduce((sum, { value }) => sum + value, 0);
  const earned = outcomes.reduce(
    (sum, outcome) => sum + outcome.earnedValue,
    0,
  );
  return {
    requests: outcomes.length,
    earned: offered === 0 ? 0 : earned / offered,
    ends: Object.fromEntries(
      ENDS.map((end) => [
        end,
        outcomes.filter((outcome) => outcome.end === end).length,
      ]),
    ) as Record<RequestEnd, number>,
    firstMedian: quantile(outcomes, 0.5),
    firstP95: quantile(outcomes, 0.95),
    heldMean: meanHeld(outcomes),
  };
}

function meanHeld(outcomes: readonly LoadOutcome[]): number {
  const refused = outcomes.filter(({ end }) => end === "refused");
  const held = refused.reduce((sum, { heldMs }) => sum + heldMs, 0);
  return Math.round(held / Math.max(1, refused.length));
}

function quantile(outcomes: readonly LoadOutcome[], share: number): number {
  const times = outcomes.flatMap(({ firstEventMs }) => firstEventMs ?? [])
    .sort((left, right) => left - right);
  return Math.round(times[Math.floor(share * times.length)] ?? 0);
}
