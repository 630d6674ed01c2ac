import { describe, expect, it } from "vitest";
import { instant } from "../../index.ts";
import { LogThrottle } from "../log_throttle.ts";

describe("a log throttle", () => {
  it("reports the first event, and later ones together once an interval", () => {
    const throttle = new LogThrottle();
    const lines = [0, 10, 9_999, 10_000, 10_001, 25_000].map((at) =>
      throttle.add(instant(at))
    );
    expect(lines).toEqual([1, 0, 0, 3, 0, 2]);
    expect(throttle.count).toBe(6);
  });
});
