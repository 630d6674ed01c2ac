import { readFileSync } from "node:fs";
import { beforeAll, describe, expect, it } from "vitest";
import {
  type LoadReport,
  type LoadSummary,
  reportLoad,
  runLoad,
} from "../index.ts";

const FOLDER = new URL("../../../loads/", import.meta.url);
const SEEDS = [1, 2, 3, 4];
/** Least share of a kind's large requests that are served, as a fraction of the share of all its requests. */
const MIN_RELATIVE_SHARE = 0.5;

function loadSetting(name: string): string {
  return readFileSync(new URL(`${name}.setting`, FOLDER), "utf8");
}

function servedShare({ ends, requests }: LoadSummary): number {
  return (ends.on_time + ends.late) / requests;
}

function runSeeds(name: string): LoadReport[] {
  const text = readFileSync(new URL(`${name}.load`, FOLDER), "utf8");
  return SEEDS.map((seed) => reportLoad(runLoad(text, { seed, loadSetting })));
}

function expectServedBySize(
  reports: readonly LoadReport[],
  kind: string,
): void {
  for (const { kinds, servedBySize } of reports) {
    const { largest, large } = servedBySize[kind]!;
    const least = MIN_RELATIVE_SHARE * servedShare(kinds[kind]!);
    expect(largest).toBeGreaterThanOrEqual(least);
    expect(large).toBeGreaterThanOrEqual(least);
  }
}

describe("large requests", () => {
  describe("beside more long prompts than a region has room for", () => {
    let reports: LoadReport[];

    beforeAll(() => {
      reports = runSeeds("long_answers");
    });

    /** Guards against long answers that begin at once and are not complete at their deadline. */
    it("are served like the others of chat", () => {
      expectServedBySize(reports, "chat");
    });

    /** Guards against long prompts that wait behind all shorter ones until they are refused. */
    it("are served like the others of review", () => {
      expectServedBySize(reports, "review");
    });

    it("are served like the others of extract", () => {
      expectServedBySize(reports, "extract");
    });
  });

  it.each(["tight_memory", "evacuated_peak", "uneven_engines"])(
    "are served like the others of each kind: %s",
    (name) => {
      const reports = runSeeds(name);
      Object.keys(reports[0]!.kinds).forEach((kind) =>
        expectServedBySize(reports, kind)
      );
    },
  );
});
