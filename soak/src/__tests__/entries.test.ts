import { describe, expect, it } from "vitest";
import { planActionWave, playActionWave } from "../actions/index.ts";

describe("entries in waves of actions", () => {
  // Guards against directories that name entries which are gone, and entries that serve nothing after all were killed.
  it("serve again after all of them were killed", async () => {
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
  it("check keys and limits", async () => {
    const { broken, folder } = await playActionWave(planActionWave(1, "keys"));
    expect(broken, `Files of the wave: ${folder}`).toEqual([]);
  });
});
