import { describe, expect, it } from "vitest";
import { ReadyCore } from "../../__tests__/ready_core.ts";

// An entry stood still for longer than its peers may be silent. Their heartbeats lay in its sockets, and its
// timer came first: "Member is suspect." for each, and callers were told of no other entry.
describe("an entry that stood still", () => {
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
