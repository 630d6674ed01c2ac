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

describe("large requests", () => {
  describe("beside more long prompts than a region has room for", () => {
    let reports: LoadReport[];

    beforeAll(() => {
      const text = readFileSync(new URL("long_answers.load", FOLDER), "utf8");
      reports = SEEDS.map((seed) =>
        reportLoad(runLoad(text, { seed, loadSetting }))
      );
    });

    function expectServedBySize(kind: string): void {
      for (const { kinds, servedBySize } of reports) {
        const { largest, large } = servedBySize[kind]!;
        const least = MIN_RELATIVE_SHARE * servedShare(kinds[kind]!);
        expect(largest).toBeGreaterThanOrEqual(least);
        expect(large).toBeGreaterThanOrEqual(least);
      }
    }

    /** Guards against long answers that begin at once and are not complete at their deadline. */
    it("are served like the others of chat", () => {
      expectServedBySize("chat");
    });

    /** Guards against long prompts that wait behind all shorter ones until they are refused. */
    it("are served like the others of review", () => {
      expectServedBySize("review");
    });

    it("are served like the others of extract", () => {
      expectServedBySize("extract");
    });
  });
});
