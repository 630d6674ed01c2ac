import { describe, expect, it } from "vitest";
import {
  planWave,
  playWave,
  type Regression,
  REGRESSIONS,
  WAVE_KINDS,
} from "../index.ts";

const SEED = 4;
const ENTRIES = 4;
const isQuick = ({ quick }: Regression): boolean => quick;

describe("a soak", () => {
  it("plans the same for the same seed", () => {
    const plans = [SEED, SEED, SEED + 1].map((seed) =>
      planWave(seed, { wave: 0, entries: ENTRIES })
    );
    expect(plans[0]).toEqual(plans[1]);
    expect(plans[0]).not.toEqual(plans[2]);
  });

  // Guards against requests beyond what engines state, while entries are paused, killed and stopped.
  it("keeps the limits, departures and rests that engines state", async () => {
    const wave = WAVE_KINDS.indexOf("terms");
    const plan = planWave(SEED, { wave, entries: ENTRIES });
    const { broken, folder } = await playWave(plan);
    expect(broken, `Its files: ${folder}`).toEqual([]);
  });

  // Guards against requests to engines that left, after the store came back from a copy.
  it("keeps what a restored store has acknowledged", async () => {
    const wave = WAVE_KINDS.indexOf("restores");
    const plan = planWave(SEED + 1, { wave, entries: ENTRIES });
    const { broken, folder } = await playWave(plan);
    expect(broken, `Its files: ${folder}`).toEqual([]);
  });

  // Each of these waves broke a promise once, for the cause that stands in its name.
  describe("keeps its promises", () => {
    for (const { seed, wave, cause } of REGRESSIONS.filter(isQuick)) {
      it(`in wave ${wave} of seed ${seed}: ${cause}`, async () => {
        const plan = planWave(seed, { wave, entries: ENTRIES });
        const { broken, folder } = await playWave(plan);
        expect(broken, `Its files: ${folder}`).toEqual([]);
      });
    }
  });
});
