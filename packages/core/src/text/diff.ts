/**
 * What would change from one accepted text to the next, for operators.
 *
 * @module
 */
import type { Deployment } from "./deployment.ts";

/** One change. `warning` says what it may do to customers. */
export interface Change {
  readonly subject: string;
  readonly change: string;
  readonly warning?: string;
}

/** Lists services, regions, routes, customers and limits that differ. */
export function diffDeployments(
  before: Deployment,
  next: Deployment,
): Change[] {
  return [
    ...diffHead(before, next),
    ...diffMaps("region", before.regions, next.regions),
    ...diffMaps("service", before.services, next.services),
    ...diffMaps("route", before.routes, next.routes),
    ...diffMaps("customer", before.customers, next.customers),
  ];
}

function diffHead(before: Deployment, next: Deployment): Change[] {
  const fields = ["name", "objective", "spillLimit", "loadsPerMinute"] as const;
  return fields.filter((field) => before[field] !== next[field]).map((
    field,
  ) => ({
    subject: "deployment",
    change: `${field}: ${before[field]} -> ${next[field]}`,
  }));
}

function diffMaps<Item extends object>(
  kind: string,
  before: ReadonlyMap<string, Item>,
  next: ReadonlyMap<string, Item>,
): Change[] {
  const changes: Change[] = [];
  for (const [id, item] of before) {
    const other = next.get(id);
    const subject = `${kind} ${id}`;
    if (other === undefined) {
      changes.push({
        subject,
        change: "removed",
        warning: `Requests for ${subject} are refused`,
      });
    } else {
      changes.push(...diffItem(subject, item, other));
    }
  }
  for (const id of next.keys()) {
    if (!before.has(id)) {
      changes.push({ subject: `${kind} ${id}`, change: "added" });
    }
  }
  return changes;
}

function diffItem(subject: string, before: object, next: object): Change[] {
  const keys = Object.keys({ ...before, ...next }) as (keyof typeof before)[];
  return keys.filter((key) =>
    !(String(key) === "homes" && "home" in next) &&
    JSON.stringify(before[key]) !== JSON.stringify(next[key])
  ).map((key) => {
    const name = String(key);
    const change = name === "keyDigests"
      ? "token digests changed"
      : `${name}: ${shown(before[key])} -> ${shown(next[key])}`;
    return name === "home"
      ? { subject, change, warning: HOME_WARNING }
      : { subject, change };
  });
}

function shown(value: unknown): string {
  const plain = Array.isArray(value) && typeof value[0] !== "object";
  return typeof value === "object" && !plain
    ? JSON.stringify(value)
    : String(value);
}

const HOME_WARNING =
  "A change of home: move the customer's data first; keys of open actions stay with entries of the old home";
