/**
 * Formats the results of measured cases as a table.
 *
 * @module
 */
import type { ObservedRequest } from "./load.ts";

/** The results of one balancer in one case. */
export interface MeasuredResult {
  readonly name: string;
  readonly balancer: string;
  readonly observed: readonly ObservedRequest[];
  readonly engineSeconds: number;
  readonly prefilledTokens: number;
  readonly spills: number;
  readonly retries: number;
  readonly refusals: number;
}

const COLUMNS = [
  "case",
  "policy",
  "first token screen p50 / p95 / p99, ms",
  "whole screen p50 / p95 / p99, ms",
  "first token summary p95, ms",
  "engine s",
  "prefilled tokens",
  "sent away",
  "refused",
  "retries",
  "broken",
];

/** Formats results as a Markdown table with a row per case and balancer. */
export function formatResults(results: readonly MeasuredResult[]): string {
  const head = [
    `| ${COLUMNS.join(" | ")} |`,
    `| ${COLUMNS.map(() => "---").join(" | ")} |`,
  ];
  return [
    ...head,
    ...results.map((result) => `| ${formatCells(result).join(" | ")} |`),
  ].join("\n");
}

function formatCells(result: MeasuredResult): string[] {
  const { observed } = result;
  const answered = observed.filter(({ whole }) => whole);
  const screen = answered.filter(({ requestClass }) =>
    requestClass === "screen"
  );
  const summary = answered.filter(({ requestClass }) =>
    requestClass === "summary"
  );
  const broken =
    observed.filter(({ status, whole }) => status === 200 && !whole).length;
  return [
    result.name,
    result.balancer,
    quantiles(screen.map(({ firstTokenMs }) => firstTokenMs)),
    quantiles(screen.map(({ wholeMs }) => wholeMs)),
    quantile(summary.map(({ firstTokenMs }) => firstTokenMs), 0.95).toFixed(0),
    result.engineSeconds.toFixed(1),
    String(result.prefilledTokens),
    percent(result.spills, observed.length),
    percent(result.refusals, observed.length),
    String(result.retries),
    String(broken),
  ];
}

function quantiles(values: readonly number[]): string {
  return [0.5, 0.95, 0.99].map((share) => quantile(values, share).toFixed(0))
    .join(" / ");
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(share * sorted.length))
  ] ?? 0;
}

function percent(part: number, total: number): string {
  return `${((100 * part) / total).toFixed(1)}%`;
}
