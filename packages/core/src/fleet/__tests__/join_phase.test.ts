import { describe, expect, it } from "vitest";
import { instant } from "../../index.ts";
import { JoinPhase } from "../join_phase.ts";

describe("the join phase of an entry", () => {
  it("starts at once and ends after a second without new members", () => {
    const phase = new JoinPhase(instant(100));
    expect(phase.isJoining(0, instant(100))).toBe(true);
    expect(phase.isJoining(0, instant(1_099))).toBe(true);
    expect(phase.isJoining(0, instant(1_100))).toBe(false);
  });

  it("continues while new members are discovered", () => {
    const phase = new JoinPhase(instant(0));
    for (let now = 0; now < 5_000; now += 500) {
      expect(phase.isJoining(now, instant(now))).toBe(true);
    }
    expect(phase.isJoining(4_500, instant(5_400))).toBe(true);
    expect(phase.isJoining(4_500, instant(5_500))).toBe(false);
  });

  it("isn't prolonged when members are forgotten", () => {
    const phase = new JoinPhase(instant(0));
    phase.isJoining(5, instant(0));
    phase.isJoining(4, instant(900));
    expect(phase.isJoining(4, instant(1_000))).toBe(false);
  });

  /**
   * Guards against entries that permanently ping five times as often as they may: when entries are replaced
   * one after the other all day, each replacement is a new member to all others.
   */
  it("ends after ten seconds even if new members are discovered", () => {
    const phase = new JoinPhase(instant(0));
    for (let now = 0; now < 10_000; now += 500) {
      phase.isJoining(now, instant(now));
    }
    expect(phase.isJoining(10_000, instant(10_000))).toBe(false);
  });
});
