import { beforeEach, describe, expect, it } from "vitest";
import { instant, milliseconds, type Revision } from "../../ids/index.ts";
import { DocumentFreshness } from "../document_freshness.ts";

const VERSION = 7 as Revision;

describe("freshness of a document", () => {
  let documentFreshness: DocumentFreshness;
  const addProof = (at: number, version = VERSION): void =>
    documentFreshness.addProof({
      version,
      at: documentFreshness.mark(instant(at)),
    });

  beforeEach(() => {
    documentFreshness = new DocumentFreshness();
    documentFreshness.setHeldVersion(VERSION);
    addProof(1_000);
  });

  // Guards against revoked keys that are accepted again because the store was restored from an older backup.
  describe("after the platform was restored", () => {
    beforeEach(() =>
      documentFreshness.rejectProofsFor(milliseconds(2_000), instant(5_000))
    );

    it("keeps aging from the last confirmation before the restore", () => {
      expect(documentFreshness.age(instant(6_000))).toBe(5_000);
    });

    it("is not confirmed by reads sent before lost writes were repeated", () => {
      addProof(6_999);
      expect(documentFreshness.age(instant(7_000))).toBe(6_000);
      addProof(7_000);
      expect(documentFreshness.age(instant(7_100))).toBe(100);
    });

    it("is not confirmed by such a read of a version that is held only later", () => {
      const later = 9 as Revision;
      addProof(6_000, later);
      documentFreshness.setHeldVersion(later);
      expect(documentFreshness.age(instant(7_000))).toBe(6_000);
    });

    it("includes time during which the machine was suspended", () => {
      documentFreshness.addSuspendedTime(milliseconds(3_000));
      addProof(5_100);
      expect(documentFreshness.age(instant(5_200))).toBe(100);
    });
  });
});
