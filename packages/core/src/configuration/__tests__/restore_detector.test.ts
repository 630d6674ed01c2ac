import { describe, expect, it } from "vitest";
import { instant, type Revision, type ServiceRevision } from "../../index.ts";
import {
  formatRevision,
  MAX_SERVICE_REVISIONS,
  serviceRevisionOf,
  toFleetRevision,
} from "../fleet_revision.ts";
import {
  RESTORE_CONFIRMATION_MS,
  RestoreDetector,
} from "../restore_detector.ts";
import { digestText, MAX_KNOWN_TEXTS } from "../text_history.ts";

/** A detector that knows the texts `text 1` to `text N`, under the revisions 1 to N. */
function detectorOf(count: number): RestoreDetector {
  const detector = new RestoreDetector();
  for (let revision = 1; revision <= count; revision++) {
    detector.history.add({
      revision: revision as Revision,
      digest: digestText(`text ${revision}`),
    });
  }
  return detector;
}

function read(
  detector: RestoreDetector,
  { revision, text, newest = 3, at = 0 }: {
    revision: number;
    text: string;
    newest?: number;
    at?: number;
  },
): ReturnType<RestoreDetector["read"]> {
  return detector.read({
    revision: revision as ServiceRevision,
    text,
    newest: newest as Revision,
  }, instant(at));
}

describe("a text of the configuration service", () => {
  it("is newer under a higher revision, and current as long as it is the newest", () => {
    const detector = detectorOf(3);
    expect(read(detector, { revision: 4, text: "text 4" })).toEqual({
      kind: "newer",
      revision: 4,
      restored: false,
    });
    expect(read(detector, { revision: 3, text: "text 3" }).kind).toBe(
      "current",
    );
  });

  // Guards against a text that is never adopted because its revision was assigned before.
  it("begins an epoch once it was read twice under a known revision", () => {
    const detector = detectorOf(3);
    const again = { revision: 3, text: "another text" };
    expect(read(detector, again).kind).toBe("doubtful");
    expect(read(detector, { ...again, at: RESTORE_CONFIRMATION_MS - 1 }).kind)
      .toBe("doubtful");
    expect(read(detector, { ...again, at: RESTORE_CONFIRMATION_MS })).toEqual({
      kind: "newer",
      revision: toFleetRevision(1, 3 as ServiceRevision),
      restored: true,
    });
  });

  it("counts from the first conflict again after a long time", () => {
    const detector = detectorOf(3);
    const again = { revision: 3, text: "another text" };
    expect(read(detector, again).kind).toBe("doubtful");
    expect(read(detector, { ...again, at: 600_000 }).kind).toBe("doubtful");
  });

  // Guards against an outdated answer that brings an old text back.
  it("is older if it was superseded, whatever revision is the newest", () => {
    const detector = detectorOf(3);
    const newest = toFleetRevision(1, 1 as ServiceRevision);
    detector.history.add({ revision: newest, digest: digestText("new text") });
    for (const revision of [1, 2, 3]) {
      const outdated = { revision, text: `text ${revision}`, newest };
      expect(read(detector, outdated).kind).toBe("older");
      expect(read(detector, { ...outdated, at: 5_000 }).kind).toBe("older");
    }
  });

  it("is older if its revision is lower and unknown", () => {
    const detector = new RestoreDetector();
    detector.history.add({
      revision: 9 as Revision,
      digest: digestText("text 9"),
    });
    const outdated = { revision: 4, text: "text 4", newest: 9 };
    expect(read(detector, outdated).kind).toBe("older");
    expect(read(detector, { ...outdated, at: 5_000 }).kind).toBe("older");
  });

  // Guards against an entry that started after a restore, took over an old text, and ignores the new one for ever.
  it("conflicts with what a peer knows under the revision, even if it was adopted before", () => {
    const detector = new RestoreDetector();
    detector.history.add({
      revision: 3 as Revision,
      digest: digestText("new text"),
    });
    detector.history.merge([
      { revision: 3 as Revision, digest: digestText("text 3") },
      { revision: 9 as Revision, digest: digestText("text 9") },
    ]);
    const again = { revision: 3, text: "new text", newest: 9 };
    expect(read(detector, again).kind).toBe("doubtful");
    expect(read(detector, { ...again, at: 2_000 }).kind).toBe("newer");
  });
});

describe("the known texts", () => {
  it("are bounded, and the newest are kept", () => {
    const { history } = detectorOf(MAX_KNOWN_TEXTS + 5);
    const known = history.upTo(1_000 as Revision);
    expect(known.length).toBe(MAX_KNOWN_TEXTS);
    expect(known[0]!.revision).toBe(6);
  });

  it("are passed on up to the revision of the copy", () => {
    expect(
      detectorOf(5).history.upTo(3 as Revision).map(({ revision }) => revision),
    ).toEqual([1, 2, 3]);
  });
});

describe("a revision of a later epoch", () => {
  it("is above all revisions of earlier ones, and names the service's revision", () => {
    const last = toFleetRevision(
      0,
      MAX_SERVICE_REVISIONS - 1 as ServiceRevision,
    );
    const first = toFleetRevision(1, 1 as ServiceRevision);
    expect(first).toBeGreaterThan(last);
    expect(serviceRevisionOf(first)).toBe(1);
    expect(formatRevision(first)).toBe("1 of epoch 1");
    expect(formatRevision(last)).toBe(`${MAX_SERVICE_REVISIONS - 1}`);
  });
});
