import { describe, expect, it } from "vitest";
import { CoreFixture } from "../../__tests__/core_fixture.ts";
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
    const core = new CoreFixture([]);
    core.receiveHeartbeat({ incarnation: OTHER });
    expect(suspects(core.advance(SUSPECT_MS))).toBe(1);
  });

  describe("during a pause of this entry", () => {
    // Guards against suspecting all peers after a pause that is longer than the silence allowed to them. The
    // first tick ran before the heartbeats in the sockets were read, and requests with idempotency keys that
    // peers own were refused until each peer was heard again.
    it("doesn't count", () => {
      const core = new CoreFixture([]);
      core.receiveHeartbeat({ incarnation: OTHER });
      expect(suspects(core.pause(PAUSE_MS))).toBe(0);
      expect(suspects(core.advance(SUSPECT_MS / 2))).toBe(0);
      core.receiveHeartbeat({ incarnation: OTHER });
      expect(suspects(core.advance(SUSPECT_MS / 2))).toBe(0);
    });

    it("counts from the end of the pause", () => {
      const core = new CoreFixture([]);
      core.receiveHeartbeat({ incarnation: OTHER });
      core.pause(PAUSE_MS);
      expect(suspects(core.advance(SUSPECT_MS))).toBe(1);
    });
  });
});
