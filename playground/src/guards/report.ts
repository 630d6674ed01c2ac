/**
 * What taking out guards showed, as a table and as a page.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

/** What taking out one guard showed. */
export type Finding =
  | {
    readonly guard: Guard;
    readonly kind: "seen";
    /** Tests that fail without it. */
    readonly failed: readonly string[];
  }
  /** No test fails without it. */
  | { readonly guard: Guard; readonly kind: "notSeen" }
  /** The code has moved on and the list has not. */
  | {
    readonly guard: Guard;
    readonly kind: "notFound";
    readonly detail: string;
  }
  /** The time was over, or the run said nothing. */
  | {
    readonly guard: Guard;
    readonly kind: "notRun";
    readonly detail?: string;
  };

const SHOWN_TESTS = 3;

/** A row a guard. */
export function formatTable(findings: readonly Finding[]): string {
  return [
    "| point | guard | file | tests that fail without it |",
    "| --- | --- | --- | --- |",
    ...findings.map((finding) => {
      const { point, name, file } = finding.guard;
      return `| ${point} | ${name} | \`${file}\` | ${testsOf(finding)} |`;
    }),
  ].join("\n");
}

function testsOf(finding: Finding): string {
  switch (finding.kind) {
    case "seen": {
      const { failed } = finding;
      const shown = failed.slice(0, SHOWN_TESTS).join("; ");
      const more = failed.length > SHOWN_TESTS ? " and more" : "";
      return (shown + more).replaceAll("|", "/");
    }
    case "notSeen":
      return "**none**";
    case "notFound":
      return `**not found**: ${finding.detail.replaceAll("|", "/")}`;
    case "notRun":
      return "**not run**";
  }
}

/** One line. */
export function formatSummary(findings: readonly Finding[]): string {
  const count = (kind: Finding["kind"]): number =>
    findings.filter((finding) => finding.kind === kind).length;
  return `${
    count("seen")
  } of ${findings.length} guards: a test fails without them; ${
    count("notSeen")
  } not seen, ${count("notFound")} not found, ${count("notRun")} not run`;
}

/** docs/GUARDS.md */
export function formatPage(findings: readonly Finding[]): string {
  return `# Guards

Each row was made by \`npm run guards -- --write\`: the guard was taken out in a copy of the project, and
the tests were run there until a few failed. Without the guard they fail; with it they pass.

${formatSummary(findings)}.

${formatTable(findings)}
`;
}
