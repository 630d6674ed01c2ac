import { SeededRandomness } from "@sassafrasstep/core";
import { describe, expect, it } from "vitest";
import { parseScript } from "../../scenario/script.ts";
import { readContention, SharedMachine } from "../shared_machine.ts";

const CONTENTION = { share: 0.15, factor: 2.5, periodMs: 600 };
const HOUR_MS = 3_600_000;
const STEP_MS = 10;

function slowdowns(seed: number, durationMs = HOUR_MS): number[] {
  const machine = new SharedMachine(CONTENTION, new SeededRandomness(seed));
  return Array.from(
    { length: durationMs / STEP_MS },
    (_, step) => machine.slowdown(step * STEP_MS),
  );
}

describe("a shared machine", () => {
  it("is slowed down for its share of the time", () => {
    const values = slowdowns(1);
    const slow = values.filter((value) => value === CONTENTION.factor).length;
    expect(new Set(values)).toEqual(new Set([1, CONTENTION.factor]));
    expect(slow / values.length).toBeGreaterThan(0.13);
    expect(slow / values.length).toBeLessThan(0.17);
  });

  it("changes no more often than its period allows", () => {
    const values = slowdowns(2);
    const changes =
      values.filter((value, index) => index > 0 && value !== values[index - 1])
        .length;
    // Two independent draws in a row differ with a probability of 2 * 0.15 * 0.85.
    const expected = 2 * 0.15 * 0.85 * HOUR_MS / CONTENTION.periodMs;
    expect(changes / expected).toBeGreaterThan(0.9);
    expect(changes / expected).toBeLessThan(1.1);
  });

  it("repeats with the same seed and differs with another", () => {
    expect(slowdowns(3, 60_000)).toEqual(slowdowns(3, 60_000));
    expect(slowdowns(3, 60_000)).not.toEqual(slowdowns(4, 60_000));
  });

  it("reports its slowdown in percent", () => {
    const machine = new SharedMachine(
      { ...CONTENTION, share: 1 },
      new SeededRandomness(1),
    );
    expect(machine.contention(0)).toBe(250);
  });
});

describe("the option for contention", () => {
  const read = (text: string) => readContention(parseScript(text).setting[0]!);

  it("is read from a line", () => {
    expect(read("engine e z pool contention 0.15:2.5:600ms")).toEqual(
      CONTENTION,
    );
    expect(read("engine e z pool")).toBeUndefined();
  });

  it.each(["x:2.5:600ms", "0.15:0:600ms", "0.15:2.5", "0.15:2.5:0ms"])(
    "is rejected as %s",
    (text) => {
      expect(() => read(`engine e z pool contention ${text}`)).toThrow(
        "expected",
      );
    },
  );
});
