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

/** Commits the dispatched attempt, reports progress up to the given token, and ends the attempt. */
function endAttempt(
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

describe("the rest of a stream that has started", () => {
  // Guards against streams that end in the middle without an error: an engine broke off, and the next one's
  // answer, which was not the rest of the stream, was taken for the answer to the whole request.
  it.each([200, 204, 400, 404, 429, 500, 503])(
    "is requested from another engine after an answer with status %i",
    (status) => {
      const core = new ReadyCore(ENGINES);
      const first = core.send({ service: "pool" }).effects;
      const second = endAttempt(core, first, { upTo: 3, how: LOST });
      const third = endAttempt(core, second, {
        upTo: 3,
        how: answered(status),
      });
      expect(answers(third)).toEqual([]);
      expect(dispatched(third).length).toBe(1);
    },
  );

  it("is refused if no engine answers with a stream", () => {
    const core = new ReadyCore(ENGINES);
    let effects: readonly Effect[] = core.send({ service: "pool" }).effects;
    effects = endAttempt(core, effects, { upTo: 3, how: LOST });
    while (dispatched(effects).length > 0) {
      effects = endAttempt(core, effects, { upTo: 3, how: answered(404) });
    }
    expect(refusedFor(effects)).toBe("endpoint_failed");
  });

  it("does not replace the answer of an engine to the whole request", () => {
    const core = new ReadyCore(ENGINES);
    const { effects } = core.send({ service: "pool" });
    expect(answers(endAttempt(core, effects, { upTo: 0, how: answered(404) })))
      .toMatchObject([{ kind: "answered", answer: { status: 404 } }]);
  });
});
