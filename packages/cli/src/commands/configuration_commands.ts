/**
 * The commands `check` and `diff`, which work on configuration files and query no entry.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import {
  type Deployment,
  diffDeployments,
  formatFault,
  parseConfiguration,
  type TextFault,
} from "@sassafrasstep/core";
import VError from "verror";
import {
  type CommandResult,
  EXIT_CODES,
  formatTable,
} from "../output/index.ts";

/** Checks a configuration text with the same parser as the entries. */
export function checkFile(path: string): CommandResult {
  const result = parseConfiguration(readText(path));
  if (!result.ok) {
    return reportFaults(path, result.faults);
  }
  const { name, regions, services, customers } = result.deployment;
  const text =
    `${path}: deployment "${name}" is acceptable: ${regions.size} regions, ${services.size} services, ` +
    `${customers.size} customers`;
  return { text, json: { ok: true, name }, exitCode: EXIT_CODES.ok };
}

/** Lists the changes that a new configuration text would make. */
export function diffFiles(oldPath: string, newPath: string): CommandResult {
  const before = parseConfiguration(readText(oldPath));
  if (!before.ok) {
    return reportFaults(oldPath, before.faults);
  }
  const after = parseConfiguration(readText(newPath));
  if (!after.ok) {
    return reportFaults(newPath, after.faults);
  }
  return listChanges(before.deployment, after.deployment);
}

function listChanges(before: Deployment, after: Deployment): CommandResult {
  const changes = diffDeployments(before, after);
  const rows = changes.map((
    { subject, change, warning = "" },
  ) => [subject, change, warning]);
  const text = changes.length === 0
    ? "Nothing would change"
    : formatTable(["SUBJECT", "CHANGE", "WARNING"], rows);
  return { text, json: { changes }, exitCode: EXIT_CODES.ok };
}

function reportFaults(
  path: string,
  faults: readonly TextFault[],
): CommandResult {
  const lines = faults.map((fault) => `${path}: ${formatFault(fault)}`);
  return {
    text: lines.join("\n"),
    json: { ok: false, faults },
    exitCode: EXIT_CODES.failure,
  };
}

function readText(path: string): string {
  try {
    return readFileSync(path, "utf8");
  } catch (cause) {
    throw new VError(cause as Error, 'Cannot read "%s"', path);
  }
}
