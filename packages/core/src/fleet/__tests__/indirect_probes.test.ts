import { describe, expect, it } from "vitest";
import { IndirectProbes } from "../indirect_probes.ts";

describe("indirect probes", () => {
  it("are returned once", () => {
    const probes = new IndirectProbes();
    probes.add(7, { to: "a:1", sequence: 3 });
    expect(probes.take(7)).toEqual({ to: "a:1", sequence: 3 });
    expect(probes.take(7)).toBeUndefined();
  });

  it("drop the oldest, so that dead targets don't use up memory", () => {
    const probes = new IndirectProbes();
    for (let sequence = 1; sequence <= 65; sequence++) {
      probes.add(sequence, { to: "a:1", sequence });
    }
    expect(probes.take(1)).toBeUndefined();
    expect(probes.take(2)).toBeDefined();
    expect(probes.take(65)).toBeDefined();
  });
});
