import { describe, expect, it } from "vitest";
import { ReadyCore } from "../../__tests__/ready_core.ts";
import type { Effect, Incarnation } from "../../index.ts";

const OTHER = "bbbbbbbbbbbb" as Incarnation;
/** Silence after which a member of the own zone is suspect, with room for one heartbeat. */
const SUSPECT_MS = 9_500;
const PAUSE_MS = 20_000;

function suspects(effects: readonly Effect[]): number {
  return effects.filter((effect) =>
    effect.kind === "log" && effect.text === "Member is suspect."
  ).length;
}

describe("a member's silence", () => {
  it("makes it suspect while this entry runs", () => {
    const core = new ReadyCore([]);
    core.hear({ incarnation: OTHER });
    expect(suspects(core.pass(SUSPECT_MS))).toBe(1);
  });

  describe("over a pause of this entry", () => {
    // An entry that had stood still for longer than its peers may be silent took all of them for dead on
    // its first tick, with their heartbeats in its sockets. Calls with keys of theirs were refused until
    // each of them was heard again.
    it("doesn't count", () => {
      const core = new ReadyCore([]);
      core.hear({ incarnation: OTHER });
      expect(suspects(core.stall(PAUSE_MS))).toBe(0);
      expect(suspects(core.pass(SUSPECT_MS / 2))).toBe(0);
      core.hear({ incarnation: OTHER });
      expect(suspects(core.pass(SUSPECT_MS / 2))).toBe(0);
    });

    it("counts from the wake", () => {
      const core = new ReadyCore([]);
      core.hear({ incarnation: OTHER });
      core.stall(PAUSE_MS);
      expect(suspects(core.pass(SUSPECT_MS))).toBe(1);
    });
  });
});
