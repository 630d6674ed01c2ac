import { describe, expect, it } from "vitest";
import {
  planWave,
  playWave,
  type Regression,
  REGRESSIONS,
  WAVE_KINDS,
} from "../index.ts";

const SEED = 4;
const ENTRY_COUNT = 4;
const isQuick = ({ quick }: Regression): boolean => quick;

describe("soak test", () => {
  it("draws the same plan for the same seed", () => {
    const plans = [SEED, SEED, SEED + 1].map((seed) =>
      planWave(seed, { wave: 0, entries: ENTRY_COUNT })
    );
    expect(plans[0]).toEqual(plans[1]);
    expect(plans[0]).not.toEqual(plans[2]);
  });

  // Guards against requests that exceed the terms of engines while entries are paused, killed and stopped.
  it("respects the limits, departures and rest periods that engines state", async () => {
    const wave = WAVE_KINDS.indexOf("terms");
    const plan = planWave(SEED, { wave, entries: ENTRY_COUNT });
    const { broken, folder } = await playWave(plan);
    expect(broken, `Files of the wave: ${folder}`).toEqual([]);
  });

  // Guards against requests to engines that left or were removed after the store was restored from a copy.
  it("applies changes that a restored store has acknowledged", async () => {
    const wave = WAVE_KINDS.indexOf("restores");
    const plan = planWave(SEED + 1, { wave, entries: ENTRY_COUNT });
    const { broken, folder } = await playWave(plan);
    expect(broken, `Files of the wave: ${folder}`).toEqual([]);
  });

  // Guards against more retries by all entries together than allowed while they start again several times in a row.
  it("keeps to the retry budget of all entries", async () => {
    const wave = WAVE_KINDS.indexOf("retries");
    const plan = planWave(SEED, { wave, entries: ENTRY_COUNT });
    const { broken, folder } = await playWave(plan);
    expect(broken, `Files of the wave: ${folder}`).toEqual([]);
  });

  // Each of these waves once violated a guarantee for the cause in its title.
  describe("no longer fails", () => {
    for (const { seed, wave, cause } of REGRESSIONS.filter(isQuick)) {
      it(`in wave ${wave} of seed ${seed}: ${cause}`, async () => {
        const plan = planWave(seed, { wave, entries: ENTRY_COUNT });
        const { broken, folder } = await playWave(plan);
        expect(broken, `Files of the wave: ${folder}`).toEqual([]);
      });
    }
  });
});
