/**
 * The list of all guards, and a check that their texts still occur in the code.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { BYTE_GUARDS } from "./byte_guards.ts";
import { CUSTOMER_GUARDS } from "./customer_guards.ts";
import { EPOCH_GUARDS } from "./epoch_guards.ts";
import { TERMS_GUARDS } from "./terms_guards.ts";
import type { Edit, Guard } from "./guard.ts";
import { GUARDS } from "./guards.ts";
import { LOAD_GUARDS } from "./load_guards.ts";
import { QUARANTINE_GUARDS } from "./quarantine_guards.ts";
import { RETRY_GUARDS } from "./retry_guards.ts";
import { ROUTE_GUARDS } from "./route_guards.ts";
import { STALL_GUARDS } from "./stall_guards.ts";
import { STREAM_GUARDS } from "./stream_guards.ts";

/** All guards. */
export const ALL_GUARDS: readonly Guard[] = [
  ...GUARDS,
  ...ROUTE_GUARDS,
  ...QUARANTINE_GUARDS,
  ...BYTE_GUARDS,
  ...STALL_GUARDS,
  ...CUSTOMER_GUARDS,
  ...TERMS_GUARDS,
  ...EPOCH_GUARDS,
  ...LOAD_GUARDS,
  ...STREAM_GUARDS,
  ...RETRY_GUARDS,
];

/** Returns all edits that remove a guard. */
export function editsOf(guard: Guard): readonly Edit[] {
  return [guard, ...guard.also ?? []];
}

/** Returns why a guard cannot be removed from the project at `root`, `undefined` if it can. */
export function describeTextMismatch(
  guard: Guard,
  root: string,
): string | undefined {
  const mismatches = editsOf(guard).flatMap(({ file, find }) => {
    const path = join(root, file);
    const count = existsSync(path)
      ? readFileSync(path, "utf8").split(find).length - 1
      : 0;
    return count === 1 ? [] : [`"${find}" stands ${count} times in ${file}`];
  });
  return mismatches.length === 0 ? undefined : mismatches.join("; ");
}
