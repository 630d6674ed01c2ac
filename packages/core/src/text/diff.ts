/**
 * Lists the changes between two deployments, for operators.
 *
 * @module
 */
import type { Deployment } from "./deployment.ts";

/** One change. `warning` describes its possible effect on customers. */
export interface DeploymentChange {
  readonly subject: string;
  readonly change: string;
  readonly warning?: string;
}

/** Lists the settings, regions, services, routes and customers that differ. */
export function diffDeployments(
  before: Deployment,
  after: Deployment,
): DeploymentChange[] {
  return [
    ...diffSettings(before, after),
    ...diffSections("region", before.regions, after.regions),
    ...diffSections("service", before.services, after.services),
    ...diffSections("route", before.routes, after.routes),
    ...diffSections("customer", before.customers, after.customers),
  ];
}

function diffSettings(
  before: Deployment,
  after: Deployment,
): DeploymentChange[] {
  const fields = ["name", "objective", "spillLimit", "loadsPerMinute"] as const;
  return fields.filter((field) => before[field] !== after[field]).map((
    field,
  ) => ({
    subject: "deployment",
    change: `${field}: ${before[field]} -> ${after[field]}`,
  }));
}

function diffSections<Item extends object>(
  kind: string,
  before: ReadonlyMap<string, Item>,
  after: ReadonlyMap<string, Item>,
): DeploymentChange[] {
  const changes: DeploymentChange[] = [];
  for (const [id, item] of before) {
    const replacement = after.get(id);
    const subject = `${kind} ${id}`;
    if (replacement === undefined) {
      changes.push({
        subject,
        change: "removed",
        warning: `Requests for ${subject} are refused`,
      });
    } else {
      changes.push(...diffSection(subject, item, replacement));
    }
  }
  for (const id of after.keys()) {
    if (!before.has(id)) {
      changes.push({ subject: `${kind} ${id}`, change: "added" });
    }
  }
  return changes;
}

function diffSection(
  subject: string,
  before: object,
  after: object,
): DeploymentChange[] {
  const keys = Object.keys({ ...before, ...after }) as (keyof typeof before)[];
  return keys.filter((key) =>
    !(String(key) === "homes" && "home" in after) &&
    JSON.stringify(before[key]) !== JSON.stringify(after[key])
  ).map((key) => {
    const name = String(key);
    const change = name === "keyDigests"
      ? "token digests changed"
      : `${name}: ${formatValue(before[key])} -> ${formatValue(after[key])}`;
    return name === "home"
      ? { subject, change, warning: HOME_WARNING }
      : { subject, change };
  });
}

function formatValue(value: unknown): string {
  const isPlainList = Array.isArray(value) && typeof value[0] !== "object";
  return typeof value === "object" && !isPlainList
    ? JSON.stringify(value)
    : String(value);
}

const HOME_WARNING =
  "A change of home: move the customer's data first; keys of open actions stay with entries of the old home";
