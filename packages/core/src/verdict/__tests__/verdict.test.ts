import { describe, expect, it } from "vitest";
import type { AttemptId } from "../../ids/index.ts";
import {
  AttemptLog,
  type AttemptState,
  formatVerdictHeader,
  parseVerdictHeader,
} from "../index.ts";

function logOf(states: readonly AttemptState[]): AttemptLog {
  const log = new AttemptLog();
  states.forEach((state, index) => log.record(`a${index}` as AttemptId, state));
  return log;
}

describe("verdict", () => {
  describe("derived from the log of attempts", () => {
    const cases: [AttemptState[], string][] = [
      [[], "not_run"],
      [["prepared"], "not_run"],
      [["unsent"], "not_run"],
      [["refused"], "not_run"],
      [["unsent", "refused", "unsent"], "not_run"],
      [["sent"], "may_have_run"],
      [["lost"], "may_have_run"],
      [["lost", "refused"], "may_have_run"],
      [["lost", "unsent"], "may_have_run"],
      [["refused", "lost", "refused"], "may_have_run"],
      [["completed"], "ran"],
      [["lost", "completed"], "ran"],
    ];

    it.each(cases)("%j is %s", (states, expected) => {
      expect(logOf(states).verdict().kind).toBe(expected);
    });

    it("ignores changes to an attempt in a final state", () => {
      const log = logOf(["lost"]);
      log.record("a0" as AttemptId, "unsent");
      expect(log.verdict().kind).toBe("may_have_run");
    });
  });

  describe("as a header", () => {
    it.each(["not_run", "ran", "may_have_run; settled", "may_have_run; open"])(
      "preserves %s",
      (header) => {
        expect(formatVerdictHeader(parseVerdictHeader(header))).toBe(header);
      },
    );

    it.each([undefined, "", "not run", "NOT_RUN"])(
      "parses %j as may_have_run",
      (header) => {
        expect(parseVerdictHeader(header).kind).toBe("may_have_run");
      },
    );
  });
});
