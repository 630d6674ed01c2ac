import { beforeEach, describe, expect, it } from "vitest";
import {
  type Incarnation,
  type Instant,
  instant,
  milliseconds,
  type RequestId,
  type Revision,
} from "../../ids/index.ts";
import type { CallHead } from "../messages.ts";
import { NewerDocumentWait } from "../newer_document_wait.ts";
import { HEAD } from "./resume_fixture.ts";

const PEER = "b1" as Incarnation;
const HELD_VERSION = 4;

function requestBy(documentVersion: number | undefined, id = "q"): CallHead {
  return {
    ...HEAD,
    id: id as RequestId,
    timeLeft: milliseconds(2_000),
    relay: {
      from: PEER,
      sentBefore: 0,
      customer: undefined,
      documentVersion: documentVersion as Revision | undefined,
    },
  };
}

// Guards against a request that runs as a replaced document says, after its caller has seen the newer one in force.
describe("a request that a peer routed by its document", () => {
  let version: number;
  let reads: Instant[];
  let copies: (readonly [Incarnation, Instant])[];
  let wait: NewerDocumentWait;

  beforeEach(() => {
    version = HELD_VERSION;
    reads = [];
    copies = [];
    wait = new NewerDocumentWait({
      version: () => version as Revision,
      read: (now) => reads.push(now),
      copyFrom: (peer, now) => copies.push([peer, now]),
    });
  });

  const idsOf = (pending: readonly { head: CallHead }[]): string[] =>
    pending.map(({ head }) => head.id);

  it.each([
    ["of the same version", HELD_VERSION],
    ["of an older version", HELD_VERSION - 1],
    ["of a version that it does not state", undefined],
  ])("is judged at once: %s", (_name, stated) => {
    expect(wait.hold(requestBy(stated), instant(0))).toBe(false);
  });

  it("waits for a newer one, which is read once", () => {
    expect(wait.hold(requestBy(5, "a"), instant(0))).toBe(true);
    expect(wait.hold(requestBy(5, "b"), instant(10))).toBe(true);
    expect(reads).toEqual([0]);
    expect(wait.take(instant(20))).toEqual({ ready: [], expired: [] });
    version = 5;
    expect(idsOf(wait.take(instant(30)).ready)).toEqual(["a", "b"]);
    expect(wait.size).toBe(0);
  });

  it("waits for the newest that was stated", () => {
    wait.hold(requestBy(5, "a"), instant(0));
    wait.hold(requestBy(6, "b"), instant(10));
    version = 5;
    expect(wait.take(instant(20)).ready).toEqual([]);
    version = 6;
    expect(idsOf(wait.take(instant(30)).ready)).toEqual(["a", "b"]);
  });

  it("is copied from the peer if the platform does not answer", () => {
    wait.hold(requestBy(5), instant(0));
    wait.take(instant(199));
    expect(copies).toEqual([]);
    wait.take(instant(200));
    expect(copies).toEqual([[PEER, 200]]);
  });

  it("is given back after a part of its time", () => {
    wait.hold(requestBy(5), instant(0));
    expect(wait.take(instant(499)).expired).toEqual([]);
    expect(idsOf(wait.take(instant(500)).expired)).toEqual(["q"]);
    expect(wait.hold(requestBy(5), instant(600))).toBe(true);
  });

  it("is relayed with the newest version that was shown lately", () => {
    expect(wait.requiredVersion(instant(0))).toBe(HELD_VERSION);
    wait.noteVersion(6 as Revision, PEER, instant(0));
    wait.noteVersion(5 as Revision, PEER, instant(1));
    expect(wait.requiredVersion(instant(1_999))).toBe(6);
    // The peer may have ended with the only copy, and the others would decline for good.
    expect(wait.requiredVersion(instant(2_000))).toBe(HELD_VERSION);
  });

  it("makes callers' own requests wait once a peer's answer shows a newer one", () => {
    const own = { ...requestBy(undefined), relay: undefined };
    expect(wait.hold(own, instant(0))).toBe(false);
    wait.noteVersion(5 as Revision, PEER, instant(0));
    expect(wait.hold(own, instant(1))).toBe(true);
    expect(reads).toEqual([0]);
    // An entry that cannot obtain it serves by what it holds.
    expect(idsOf(wait.take(instant(501)).expired)).toEqual(["q"]);
    expect(wait.hold(own, instant(2_000))).toBe(false);
  });

  it("is dropped when its caller leaves", () => {
    wait.hold(requestBy(5), instant(0));
    expect(wait.remove("q" as RequestId)).toBe(true);
    expect(wait.size).toBe(0);
  });
});
