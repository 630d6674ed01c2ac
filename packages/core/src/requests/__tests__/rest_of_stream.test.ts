import { describe, expect, it } from "vitest";
import {
  answers,
  dispatched,
  ReadyCore,
  refusedFor,
} from "../../__tests__/ready_core.ts";
import type { AttemptEnd, AttemptId, Effect } from "../../index.ts";

const ENGINES = ["e1", "e2", "e3"].map((id) => ({ id, pool: "pool" }));
const LOST: AttemptEnd = { kind: "lost", detail: "broken" };

function answered(status: number): AttemptEnd {
  return {
    kind: "answered",
    answer: { status, contentType: "text/plain", body: "" },
  };
}

/** Writes the attempt among effects, and ends it after so many tokens of the whole answer. */
function end(
  core: ReadyCore,
  effects: readonly Effect[],
  { upTo, how }: { upTo: number; how: AttemptEnd },
): Effect[] {
  const attempt = effects.flatMap((effect): AttemptId[] =>
    effect.kind === "dispatch" ? [effect.attempt.id] : []
  )[0]!;
  core.tell({ kind: "commit", attempt });
  core.tell({ kind: "progress", attempt, offset: upTo });
  return core.tell({ kind: "attemptEnded", attempt, end: how });
}

describe("the rest of an answer that has begun", () => {
  // An engine broke off, and what the next one said instead of the rest was taken for the answer to the
  // whole request: the caller's stream ended in order in the middle.
  it.each([200, 204, 400, 404, 429, 500, 503])(
    "is asked for elsewhere where an engine says %i instead",
    (status) => {
      const core = new ReadyCore(ENGINES);
      const first = core.send({ service: "pool" }).effects;
      const second = end(core, first, { upTo: 3, how: LOST });
      const third = end(core, second, { upTo: 3, how: answered(status) });
      expect(answers(third)).toEqual([]);
      expect(dispatched(third).length).toBe(1);
    },
  );

  it("is refused where each engine says something else", () => {
    const core = new ReadyCore(ENGINES);
    let effects: readonly Effect[] = core.send({ service: "pool" }).effects;
    effects = end(core, effects, { upTo: 3, how: LOST });
    while (dispatched(effects).length > 0) {
      effects = end(core, effects, { upTo: 3, how: answered(404) });
    }
    expect(refusedFor(effects)).toBe("endpoint_failed");
  });

  it("leaves the answer of an engine alone that was asked for all of it", () => {
    const core = new ReadyCore(ENGINES);
    const { effects } = core.send({ service: "pool" });
    expect(answers(end(core, effects, { upTo: 0, how: answered(404) })))
      .toMatchObject([{ kind: "answered", answer: { status: 404 } }]);
  });
});
