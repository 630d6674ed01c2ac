import { beforeEach, describe, expect, it } from "vitest";
import type { DocumentHolder } from "../../fleet/index.ts";
import { instant, type Revision } from "../../ids/index.ts";
import { PublishedDocument } from "../published_document.ts";

const version = (value: number): Revision => value as Revision;

// Guards against a lease on keys that is renewed by a copy of the store from before one was taken away.
describe("the document that a read shows", () => {
  let holder: DocumentHolder | undefined;
  let published: PublishedDocument;

  beforeEach(() => {
    holder = undefined;
    published = new PublishedDocument(() => holder);
  });

  it("is whole where nobody held a newer one when the read was sent", () => {
    published.ask(version(7));
    holder = { address: "a:1", version: version(9) };
    expect(published.isLacking(version(7), instant(0))).toBe(false);
    expect(published.newerThan(version(7))).toBeUndefined();
  });

  it("is lacking where this entry holds a newer one", () => {
    published.ask(version(7));
    expect(published.isLacking(version(4), instant(0))).toBe(true);
  });

  it("is lacking where a peer held a newer one, which is named", () => {
    holder = { address: "a:1", version: version(7) };
    published.ask(version(4));
    expect(published.isLacking(version(4), instant(0))).toBe(true);
    expect(published.newerThan(version(4))).toEqual(holder);
    expect(published.newerThan(version(7))).toBeUndefined();
  });

  it("is believed where nobody writes the newer one again", () => {
    published.ask(version(7));
    expect(published.isLacking(version(4), instant(100))).toBe(true);
    expect(published.isLacking(version(4), instant(10_099))).toBe(true);
    expect(published.isLacking(version(4), instant(10_100))).toBe(false);
  });

  it("is doubted again after the next restore", () => {
    published.ask(version(7));
    published.isLacking(version(4), instant(0));
    published.isLacking(version(8), instant(5_000));
    published.ask(version(8));
    expect(published.isLacking(version(7), instant(20_000))).toBe(true);
  });
});
