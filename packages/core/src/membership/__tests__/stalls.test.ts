import { describe, expect, it } from "vitest";
import { ReadyCore } from "../../__tests__/ready_core.ts";

// Guards against suspecting every peer after a pause that is longer than the silence allowed to them. The
// timer ran before the heartbeats in the sockets were read, so callers were given no other entry.
describe("an entry that was paused", () => {
  const suspects = (ready: ReadyCore): number =>
    ready.effects.filter((effect) =>
      effect.kind === "log" && effect.text === "Member is suspect."
    ).length;

  it("suspects no peer whose heartbeats it has not read", () => {
    const ready = new ReadyCore([{ id: "e1", pool: "pool" }]);
    ready.hear({});
    ready.pass(500);
    ready.stall(20_000);
    expect(suspects(ready)).toBe(0);
    ready.pass(9_500);
    expect(suspects(ready)).toBe(1);
  });
});
