import { beforeEach, describe, expect, it } from "vitest";
import { instant, milliseconds, type Revision } from "../../ids/index.ts";
import { DocumentFreshness } from "../document_freshness.ts";

const VERSION = 7 as Revision;

describe("freshness of a document", () => {
  let currency: DocumentFreshness;
  const prove = (at: number, version = VERSION): void =>
    currency.addProof({ version, at: currency.mark(instant(at)) });

  beforeEach(() => {
    currency = new DocumentFreshness();
    currency.setHeldVersion(VERSION);
    prove(1_000);
  });

  // Guards against revoked keys that are accepted again because the store was restored from an older backup.
  describe("after the platform was restored", () => {
    beforeEach(() =>
      currency.rejectProofsFor(milliseconds(2_000), instant(5_000))
    );

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
      currency.setHeldVersion(later);
      expect(currency.age(instant(7_000))).toBe(6_000);
    });

    it("includes time during which the machine was suspended", () => {
      currency.addSuspendedTime(milliseconds(3_000));
      prove(5_100);
      expect(currency.age(instant(5_200))).toBe(100);
    });
  });
});
