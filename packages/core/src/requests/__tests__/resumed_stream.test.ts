import { describe, expect, it } from "vitest";
import {
  CoreFixture,
  dispatchedTargets,
  finalAnswers,
  refusalReason,
} from "../../__tests__/core_fixture.ts";
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
  core: CoreFixture,
  effects: readonly Effect[],
  { upTo, how }: { upTo: number; how: AttemptEnd },
): Effect[] {
  const attempt = effects.flatMap((effect): AttemptId[] =>
    effect.kind === "dispatch" ? [effect.attempt.id] : []
  )[0]!;
  core.handle({ kind: "commit", attempt });
  core.handle({ kind: "progress", attempt, offset: upTo });
  return core.handle({ kind: "attemptEnded", attempt, end: how });
}

describe("the rest of a stream that has started", () => {
  // Guards against streams that end in the middle without an error: an engine broke off, and the next one's
  // answer, which was not the rest of the stream, was taken for the answer to the whole request.
  it.each([200, 204, 400, 404, 429, 500, 503])(
    "is requested from another engine after an answer with status %i",
    (status) => {
      const core = new CoreFixture(ENGINES);
      const first = core.sendRequest({ service: "pool" }).effects;
      const second = endAttempt(core, first, { upTo: 3, how: LOST });
      const third = endAttempt(core, second, {
        upTo: 3,
        how: answered(status),
      });
      expect(finalAnswers(third)).toEqual([]);
      expect(dispatchedTargets(third).length).toBe(1);
    },
  );

  it("is refused if no engine answers with a stream", () => {
    const core = new CoreFixture(ENGINES);
    let effects: readonly Effect[] =
      core.sendRequest({ service: "pool" }).effects;
    effects = endAttempt(core, effects, { upTo: 3, how: LOST });
    while (dispatchedTargets(effects).length > 0) {
      effects = endAttempt(core, effects, { upTo: 3, how: answered(404) });
    }
    expect(refusalReason(effects)).toBe("endpoint_failed");
  });

  it("does not replace the answer of an engine to the whole request", () => {
    const core = new CoreFixture(ENGINES);
    const { effects } = core.sendRequest({ service: "pool" });
    expect(
      finalAnswers(endAttempt(core, effects, { upTo: 0, how: answered(404) })),
    )
      .toMatchObject([{ kind: "answered", answer: { status: 404 } }]);
  });
});
