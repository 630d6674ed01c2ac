import { beforeEach, describe, expect, it } from "vitest";
import type { DocumentHolder } from "../../fleet/index.ts";
import { instant, type Revision } from "../../ids/index.ts";
import { DocumentLossDetector } from "../document_loss_detector.ts";

const version = (value: number): Revision => value as Revision;

// Guards against renewing the lease on keys by a restored backup that was taken before a key was revoked.
describe("the document that a read returns", () => {
  let holder: DocumentHolder | undefined;
  let detector: DocumentLossDetector;

  beforeEach(() => {
    holder = undefined;
    detector = new DocumentLossDetector(() => holder);
  });

  it("is accepted if no newer one was known when the read was sent", () => {
    detector.noteRead(version(7));
    holder = { address: "a:1", version: version(9) };
    expect(detector.isDocumentLost(version(7), instant(0))).toBe(false);
    expect(detector.holderNewerThan(version(7))).toBeUndefined();
  });

  it("is too old if this entry has a newer one", () => {
    detector.noteRead(version(7));
    expect(detector.isDocumentLost(version(4), instant(0))).toBe(true);
  });

  it("is too old if a peer had a newer one, and that peer is returned", () => {
    holder = { address: "a:1", version: version(7) };
    detector.noteRead(version(4));
    expect(detector.isDocumentLost(version(4), instant(0))).toBe(true);
    expect(detector.holderNewerThan(version(4))).toEqual(holder);
    expect(detector.holderNewerThan(version(7))).toBeUndefined();
  });

  it("is accepted after a while if nobody writes the newer one again", () => {
    detector.noteRead(version(7));
    expect(detector.isDocumentLost(version(4), instant(100))).toBe(true);
    expect(detector.isDocumentLost(version(4), instant(10_099))).toBe(true);
    expect(detector.isDocumentLost(version(4), instant(10_100))).toBe(false);
  });

  it("is too old again after the next restore", () => {
    detector.noteRead(version(7));
    detector.isDocumentLost(version(4), instant(0));
    detector.isDocumentLost(version(8), instant(5_000));
    detector.noteRead(version(8));
    expect(detector.isDocumentLost(version(7), instant(20_000))).toBe(true);
  });
});
