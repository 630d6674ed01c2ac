import { beforeEach, describe, expect, it } from "vitest";
import { instant, milliseconds, type Revision } from "../../ids/index.ts";
import { Currency } from "../currency.ts";

const VERSION = 7 as Revision;

describe("freshness of a document", () => {
  let currency: Currency;
  const prove = (at: number, version = VERSION): void =>
    currency.prove({ version, at: currency.mark(instant(at)) });

  beforeEach(() => {
    currency = new Currency();
    currency.hold(VERSION);
    prove(1_000);
  });

  // Guards against revoked keys that are accepted again because the store was restored from an older backup.
  describe("after the platform was restored", () => {
    beforeEach(() => currency.doubt(milliseconds(2_000), instant(5_000)));

    it("keeps aging from the last confirmation before the restore", () => {
      expect(currency.age(instant(6_000))).toBe(5_000);
    });

    it("is not confirmed by reads sent before lost writes were repeated", () => {
      prove(6_999);
      expect(currency.age(instant(7_000))).toBe(6_000);
      prove(7_000);
      expect(currency.age(instant(7_100))).toBe(100);
    });

    it("is not confirmed by such a read of a version that is held only later", () => {
      const later = 9 as Revision;
      prove(6_000, later);
      currency.hold(later);
      expect(currency.age(instant(7_000))).toBe(6_000);
    });

    it("includes time during which the machine was suspended", () => {
      currency.slept(milliseconds(3_000));
      prove(5_100);
      expect(currency.age(instant(5_200))).toBe(100);
    });
  });
});
