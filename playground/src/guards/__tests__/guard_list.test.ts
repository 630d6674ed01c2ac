import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { ALL_GUARDS, faultOfText } from "../guard_list.ts";

const ROOT = fileURLToPath(new URL("../../../../", import.meta.url));

// The suite that takes out each guard ended at once, since one guard named a line that had been changed
// long before. Nobody had run it for some landings, so nobody knew.
describe("a guard", () => {
  it.each(ALL_GUARDS.map((guard) => [guard.name, guard] as const))(
    "names text that stands once: %s",
    (_name, guard) => {
      expect(faultOfText(guard, ROOT)).toBe(undefined);
    },
  );

  it("has a name of its own", () => {
    const names = ALL_GUARDS.map(({ name }) => name);
    expect(new Set(names).size).toBe(names.length);
  });
});
