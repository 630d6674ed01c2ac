import { describe, expect, it } from "vitest";
import { planWave, playWave, WAVE_KINDS } from "../index.ts";

const SEED = 4;
const ENTRIES = 4;

describe("a soak", () => {
  it("plans the same for the same seed", () => {
    const plans = [SEED, SEED, SEED + 1].map((seed) =>
      planWave(seed, { wave: 0, entries: ENTRIES })
    );
    expect(plans[0]).toEqual(plans[1]);
    expect(plans[0]).not.toEqual(plans[2]);
  });

  describe("keeps its promises in a wave", () => {
    it.each(WAVE_KINDS.map((kind, wave) => [kind, wave] as const))(
      "of %s",
      async (_kind, wave) => {
        const plan = planWave(SEED, { wave, entries: ENTRIES });
        const { broken, folder } = await playWave(plan);
        expect(broken, `Its files: ${folder}`).toEqual([]);
      },
    );
  });
});
