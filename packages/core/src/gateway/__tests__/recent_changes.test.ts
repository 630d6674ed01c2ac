import { describe, expect, it } from "vitest";
import type { EndpointId, Revision } from "../../ids/index.ts";
import type { CatalogueChange } from "../../routes/index.ts";
import { RecentChanges } from "../recent_changes.ts";

function removed(id: string): CatalogueChange {
  return { kind: "endpointRemoved", id: id as EndpointId };
}

function remember(
  steps: readonly [number, number, readonly CatalogueChange[]][],
): RecentChanges {
  const recent = new RecentChanges();
  for (const [from, to, changes] of steps) {
    recent.add({ from: from as Revision, to: to as Revision, changes });
  }
  return recent;
}

describe("changes for a peer that is a few revisions behind", () => {
  const recent = remember([
    [10, 12, [removed("a"), removed("b")]],
    [12, 13, [removed("c")]],
  ]);

  it.each([
    [10, "a,b,c"],
    [11, "a,b,c"],
    [12, "c"],
    [13, undefined],
    [9, undefined],
  ])("since %i are %s", (since, expected) => {
    const news = recent.since(since as Revision);
    const ids = news?.changes.map((change) => "id" in change ? change.id : "");
    expect(ids?.join()).toBe(expected);
    expect(news?.revision).toBe(expected === undefined ? undefined : 13);
  });

  it("are not returned if there is a gap or a document among them", () => {
    const gap = remember([[10, 12, [removed("a")]], [13, 14, [removed("b")]]]);
    expect(gap.since(10 as Revision)).toBeUndefined();
    const document = { kind: "document" } as unknown as CatalogueChange;
    expect(remember([[10, 11, [document]]]).since(10 as Revision))
      .toBeUndefined();
  });

  it("are not returned if they don't fit into a datagram", () => {
    const many = Array.from({ length: 7 }, (_, index) => removed(`e${index}`));
    expect(remember([[10, 17, many]]).since(10 as Revision)).toBeUndefined();
  });

  it("are forgotten after a full read", () => {
    const cleared = remember([[10, 11, [removed("a")]]]);
    cleared.clear();
    expect(cleared.since(10 as Revision)).toBeUndefined();
  });
});
