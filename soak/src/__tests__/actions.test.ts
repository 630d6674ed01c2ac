import { describe, expect, it } from "vitest";
import { planActionWave, playActionWave } from "../actions/index.ts";

const SEEDS = [1, 2];

describe("actions while links and processes fail", () => {
  it("have the same plan for the same seed", () => {
    const [first, second, other] = [1, 1, 2].map((seed) =>
      planActionWave(seed)
    );
    expect(first).toEqual(second);
    expect(first).not.toEqual(other);
  });

  // Guards against actions that run twice, and promises for what ran, behind extra answers, cuts, resets and ends.
  it.each(SEEDS)(
    "run once, and are refused only if they did not run: seed %i",
    async (seed) => {
      const { broken, folder } = await playActionWave(planActionWave(seed));
      expect(broken, `Files of the wave: ${folder}`).toEqual([]);
    },
  );

  // Guards against directories that name entries which are gone, and entries that serve nothing after all were killed.
  it("are served again after all entries were killed", async () => {
    const { broken, folder } = await playActionWave(
      planActionWave(1, "deaths"),
    );
    expect(broken, `Files of the wave: ${folder}`).toEqual([]);
  });

  // Guards against requests that entries send by a document, to an endpoint or into a zone that no longer allows it.
  it("follow changes in time", async () => {
    const { broken, folder } = await playActionWave(
      planActionWave(1, "changes"),
    );
    expect(broken, `Files of the wave: ${folder}`).toEqual([]);
  });

  // Guards against requests that run with a key which was taken away, or beyond the limit of a customer.
  it("are checked by keys and limits", async () => {
    const { broken, folder } = await playActionWave(planActionWave(1, "keys"));
    expect(broken, `Files of the wave: ${folder}`).toEqual([]);
  });
});
