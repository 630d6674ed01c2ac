/**
 * Formats the results of guard removals as a table and as a page.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

/** Result of removing one guard. */
export type GuardResult =
  | {
    readonly guard: Guard;
    readonly kind: "seen";
    /** Tests that fail without the guard. */
    readonly failed: readonly string[];
  }
  /** No test fails without the guard. */
  | { readonly guard: Guard; readonly kind: "notSeen" }
  /** The text of the guard does not occur exactly once in the code, which was changed since. */
  | {
    readonly guard: Guard;
    readonly kind: "notFound";
    readonly detail: string;
  }
  /** The time limit was reached, or the run had no result. */
  | {
    readonly guard: Guard;
    readonly kind: "notRun";
    readonly detail?: string;
  };

const MAX_SHOWN_TESTS = 3;

/** Formats a Markdown table with one row per guard. */
export function formatTable(results: readonly GuardResult[]): string {
  return [
    "| point | guard | file | tests that fail without it |",
    "| --- | --- | --- | --- |",
    ...results.map((result) => {
      const { point, name, file } = result.guard;
      return `| ${point} | ${name} | \`${file}\` | ${formatTests(result)} |`;
    }),
  ].join("\n");
}

function formatTests(result: GuardResult): string {
  switch (result.kind) {
    case "seen": {
      const { failed } = result;
      const shown = failed.slice(0, MAX_SHOWN_TESTS).join("; ");
      const more = failed.length > MAX_SHOWN_TESTS ? " and more" : "";
      return (shown + more).replaceAll("|", "/");
    }
    case "notSeen":
      return "**none**";
    case "notFound":
      return `**not found**: ${result.detail.replaceAll("|", "/")}`;
    case "notRun":
      return "**not run**";
  }
}

/** Formats the counts of all results as one line. */
export function formatSummary(results: readonly GuardResult[]): string {
  const count = (kind: GuardResult["kind"]): number =>
    results.filter((result) => result.kind === kind).length;
  return `${
    count("seen")
  } of ${results.length} guards: a test fails without them; ${
    count("notSeen")
  } not seen, ${count("notFound")} not found, ${count("notRun")} not run`;
}

/** Formats the contents of docs/GUARDS.md. */
export function formatPage(results: readonly GuardResult[]): string {
  return `# Guards

Each row was made by \`npm run guards -- --write\`: the guard was taken out in a copy of the project, and
the tests were run there until a few failed. Without the guard they fail; with it they pass.

${formatSummary(results)}.

${formatTable(results)}
`;
}
