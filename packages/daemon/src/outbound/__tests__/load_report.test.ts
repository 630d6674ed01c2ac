import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { parseLoadReport } from "../load_report.ts";

describe("load reports", () => {
  it("need only the required fields and have defaults for the others", () => {
    expect(parseLoadReport('{"running":1,"slots":4}')).toMatchObject({
      running: 1,
      slots: 4,
      draining: false,
      model: "",
    });
  });

  it.each([
    "",
    "{",
    "[]",
    "null",
    '{"running":-1,"slots":4}',
    '{"running":1}',
    '{"running":1,"slots":1e999}',
  ])(
    "are rejected if malformed: %j",
    (text) => expect(parseLoadReport(text)).toBeUndefined(),
  );

  it("never make the parser throw", () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      parseLoadReport(text);
    }));
  });
});
