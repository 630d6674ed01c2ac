import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { ALL_GUARDS, describeTextMismatch } from "../guard_list.ts";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));

// A guard whose text no longer occurs in the code cannot be removed. One such guard once ended the whole guard
// suite at its start. Because the suite runs rarely, this went unnoticed for several merges.
describe("a guard", () => {
  it.each(ALL_GUARDS.map((guard) => [guard.name, guard] as const))(
    "names text that occurs exactly once: %s",
    (_name, guard) => {
      expect(describeTextMismatch(guard, ROOT)).toBe(undefined);
    },
  );

  it("has a unique name", () => {
    const names = ALL_GUARDS.map(({ name }) => name);
    expect(new Set(names).size).toBe(names.length);
  });
});
