import { describe, expect, it } from "vitest";
import { CoreFixture } from "../../__tests__/core_fixture.ts";

// Guards against suspecting every peer after a pause that is longer than the silence allowed to them. The
// timer ran before the heartbeats in the sockets were read, so callers were given no other entry.
describe("an entry that was paused", () => {
  const suspects = (ready: CoreFixture): number =>
    ready.effects.filter((effect) =>
      effect.kind === "log" && effect.text === "Member is suspect."
    ).length;

  it("suspects no peer whose heartbeats it has not read", () => {
    const ready = new CoreFixture([{ id: "e1", pool: "pool" }]);
    ready.receiveHeartbeat({});
    ready.advance(500);
    ready.pause(20_000);
    expect(suspects(ready)).toBe(0);
    ready.advance(9_500);
    expect(suspects(ready)).toBe(1);
  });
});
