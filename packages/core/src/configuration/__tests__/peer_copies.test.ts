import { describe, expect, it } from "vitest";
import {
  CONFIGURATION_TEXT,
  CoreFixture,
} from "../../__tests__/core_fixture.ts";
import {
  type ConfigurationCopy,
  type CoreEvent,
  createTextPatch,
  type Effect,
  type Incarnation,
  type Revision,
  type ServiceRevision,
  toFleetRevision,
} from "../../index.ts";

const PEER = "bbbbbbbbbbbb" as Incarnation;
const [OLD, LOST, NEW] = [500, 501, 502].map((rate) =>
  CONFIGURATION_TEXT.replace(/requests_per_s = \d+/, `requests_per_s = ${rate}`)
) as [string, string, string];
const REASSIGNED = toFleetRevision(1, 2 as ServiceRevision);

function readText(revision: number, text: string): CoreEvent {
  return {
    kind: "configurationRead",
    revision: revision as ServiceRevision,
    text,
  };
}

function copied(copy: ConfigurationCopy): CoreEvent {
  return { kind: "configurationCopied", from: PEER, copy, answered: true };
}

function requestedFrom(effects: readonly Effect[]): number[] {
  return effects.flatMap((effect) =>
    effect.kind === "copyConfiguration" ? [effect.have] : []
  );
}

/** An entry that read `LOST` as revision 2, after which the service assigned 2 to `NEW`. */
function entryBeforeRestore(): CoreFixture {
  const entry = new CoreFixture([], { text: OLD });
  entry.handle(readText(2, LOST));
  return entry;
}

function entryAfterRestore(): CoreFixture {
  const entry = entryBeforeRestore();
  entry.handle(readText(2, NEW));
  entry.advance(2_500);
  entry.handle(readText(2, NEW));
  return entry;
}

describe("copies of the configuration between entries", () => {
  // Guards against engines that refuse orders for ever because the fencing number fell.
  it("are newer after a restore than before", () => {
    const { configuration } = entryAfterRestore().core.board;
    expect(configuration).toMatchObject({ revision: REASSIGNED, text: NEW });
  });

  it("are patches within an epoch, and whole texts with their history across epochs", () => {
    const before = entryBeforeRestore().core.answerConfiguration(
      1 as Revision,
    );
    expect(before).toMatchObject({ kind: "patch", base: 1 });
    const after = entryAfterRestore().core.answerConfiguration(2 as Revision);
    expect(after).toMatchObject({ kind: "whole", text: NEW });
    expect(
      after?.kind === "whole" &&
        after.history?.map(({ revision }) => revision),
    ).toEqual([1, 2, REASSIGNED]);
  });

  it("let an entry recognize an outdated answer that it never read itself", () => {
    const copy = entryAfterRestore().core.answerConfiguration(0 as Revision)!;
    const entry = new CoreFixture([], { text: OLD });
    entry.handle(copied(copy));
    entry.handle(readText(2, LOST));
    entry.advance(2_500);
    entry.handle(readText(2, LOST));
    expect(entry.core.board.configuration.text).toBe(NEW);
    expect(entry.core.board.configuration.servedOlder).toBe(2);
  });

  it("are adopted without a history, which entries of an earlier version do not send", () => {
    const entry = entryBeforeRestore();
    entry.handle(copied({ kind: "whole", revision: REASSIGNED, text: NEW }));
    expect(entry.core.board.configuration.text).toBe(NEW);
  });

  // Guards against an entry that requests the same patch without a pause, and never gets the text.
  it("are requested whole if a patch does not fit", () => {
    const entry = new CoreFixture([], { text: OLD });
    entry.handle(readText(2, NEW));
    entry.receiveHeartbeat({ incarnation: PEER });
    entry.core.board.membership.members.forEach((member) => {
      Object.assign(member, { revision: 3 });
    });
    expect(requestedFrom(entry.advance(50))).toEqual([2]);
    const patch = createTextPatch(LOST, OLD);
    const effects = entry.handle(
      copied({
        kind: "patch",
        revision: 3 as Revision,
        base: 2 as Revision,
        patch: { ...patch, digest: "0" },
      }),
    );
    expect(requestedFrom(effects)).toEqual([0]);
    expect(requestedFrom(entry.advance(900))).toEqual([]);
    const whole = createTextPatch("", OLD);
    entry.handle(
      copied({
        kind: "patch",
        revision: 3 as Revision,
        base: 0 as Revision,
        patch: whole,
      }),
    );
    expect(entry.core.board.configuration).toMatchObject({
      revision: 3,
      text: OLD,
    });
  });
});
