import { describe, expect, it } from "vitest";
import { ReadyCore } from "../../__tests__/ready_core.ts";
import type { Effect, Incarnation } from "../../index.ts";

const OTHER = "bbbbbbbbbbbb" as Incarnation;
/** Silence after which a member of the same zone is suspect, plus the time of one heartbeat. */
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

  describe("during a pause of this entry", () => {
    // Guards against suspecting all peers after a pause that is longer than the silence allowed to them. The
    // first tick ran before the heartbeats in the sockets were read, and requests with idempotency keys that
    // peers own were refused until each peer was heard again.
    it("doesn't count", () => {
      const core = new ReadyCore([]);
      core.hear({ incarnation: OTHER });
      expect(suspects(core.stall(PAUSE_MS))).toBe(0);
      expect(suspects(core.pass(SUSPECT_MS / 2))).toBe(0);
      core.hear({ incarnation: OTHER });
      expect(suspects(core.pass(SUSPECT_MS / 2))).toBe(0);
    });

    it("counts from the end of the pause", () => {
      const core = new ReadyCore([]);
      core.hear({ incarnation: OTHER });
      core.stall(PAUSE_MS);
      expect(suspects(core.pass(SUSPECT_MS))).toBe(1);
    });
  });
});
