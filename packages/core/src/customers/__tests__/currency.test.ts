import { beforeEach, describe, expect, it } from "vitest";
import { instant, milliseconds, type Revision } from "../../ids/index.ts";
import { Currency } from "../currency.ts";

const VERSION = 7 as Revision;

describe("how current a document is", () => {
  let currency: Currency;
  const prove = (at: number, version = VERSION): void =>
    currency.prove({ version, at: currency.mark(instant(at)) });

  beforeEach(() => {
    currency = new Currency();
    currency.hold(VERSION);
    prove(1_000);
  });

  // Guards against keys that open routes again by a copy of the store from before they were taken away.
  describe("after the platform was restored", () => {
    beforeEach(() => currency.doubt(milliseconds(2_000), instant(5_000)));

    it("runs on from what was known before", () => {
      expect(currency.age(instant(6_000))).toBe(5_000);
    });

    it("is not proven by what is read before all was written again", () => {
      prove(6_999);
      expect(currency.age(instant(7_000))).toBe(6_000);
      prove(7_000);
      expect(currency.age(instant(7_100))).toBe(100);
    });

    it("is not proven by such a read of a version that is held later", () => {
      const later = 9 as Revision;
      prove(6_000, later);
      currency.hold(later);
      expect(currency.age(instant(7_000))).toBe(6_000);
    });

    it("counts the time of a suspended machine", () => {
      currency.slept(milliseconds(3_000));
      prove(5_100);
      expect(currency.age(instant(5_200))).toBe(100);
    });
  });
});
