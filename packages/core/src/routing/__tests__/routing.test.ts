import { describe, expect, it } from "vitest";
import {
  CoreFixture,
  dispatchedTargets,
  finalAnswers,
  refusalReason,
} from "../../__tests__/core_fixture.ts";
import { type AttemptEnd, type AttemptId, milliseconds } from "../../index.ts";

const LOST: AttemptEnd = { kind: "lost", detail: "reset" };
const BLOCKS = [11, 12, 13, 14, 15, 16, 17, 18];

function engines(
  ...loads: { running?: number; slots?: number }[]
): { id: string; pool: string; load: object }[] {
  return loads.map((load, index) => ({
    id: `e${index + 1}`,
    pool: "pool",
    load,
  }));
}

function end(
  core: CoreFixture,
  id: string,
  attemptEnd: AttemptEnd,
): ReturnType<CoreFixture["handle"]> {
  core.handle({ kind: "commit", attempt: id as AttemptId });
  return core.handle({
    kind: "attemptEnded",
    attempt: id as AttemptId,
    end: attemptEnd,
  });
}

describe("routing to engines", () => {
  it("never picks a full engine while another has free slots", () => {
    const core = new CoreFixture(engines({ running: 4 }, { running: 0 }));
    expect(dispatchedTargets(core.sendRequest({}).effects)).toEqual(["e2"]);
  });

  it("counts its own requests since a lagging report", () => {
    const core = new CoreFixture(engines({ slots: 2 }));
    const sent = [1, 2, 3].flatMap(() =>
      dispatchedTargets(core.sendRequest({}).effects)
    );
    core.reportLoad("e1", { slots: 2, running: 0, age: milliseconds(2_000) });
    expect([sent, dispatchedTargets(core.advance(100))]).toEqual([
      ["e1", "e1"],
      [],
    ]);
  });

  it("returns to the engine that has cached the prompt's prefix, while it has free slots", () => {
    const core = new CoreFixture(engines({}, {}, {}, {}, {}, {}));
    const work = { promptTokens: 600, blocks: BLOCKS };
    const [first] = dispatchedTargets(core.sendRequest({}, work).effects);
    end(core, "r1.1", { kind: "streamed" });
    const again = [2, 3, 4].map((number) => {
      const endpoint = dispatchedTargets(core.sendRequest({}, work).effects)[0];
      end(core, `r${number}.1`, { kind: "streamed" });
      return endpoint;
    });
    expect(again).toEqual([first, first, first]);
  });

  it("queues when all engines are full, and sends as soon as a slot is free", () => {
    const core = new CoreFixture(engines({ slots: 1 }));
    core.sendRequest({});
    expect(dispatchedTargets(core.sendRequest({}).effects)).toEqual([]);
    core.handle({ kind: "commit", attempt: "r1.1" as AttemptId });
    const effects = core.handle({
      kind: "attemptEnded",
      attempt: "r1.1" as AttemptId,
      end: { kind: "streamed" },
    });
    expect(dispatchedTargets(effects)).toEqual(["e1"]);
  });

  it("tells callers when to retry, from the predicted queue time", () => {
    const core = new CoreFixture(engines({ slots: 1, running: 0 }));
    core.sendRequest({});
    const { effects } = core.sendRequest({ deadline: milliseconds(300) });
    expect(refusalReason(effects)).toBe("overloaded");
    expect(finalAnswers(effects)[0]).toMatchObject({
      refusal: { retryAfter: 1_000, verdict: { kind: "not_run" } },
    });
  });

  it("retries a lost request elsewhere, and resumes a stream where it broke off", () => {
    const core = new CoreFixture(engines({}, {}));
    const [first] = dispatchedTargets(core.sendRequest({}).effects);
    core.handle({ kind: "commit", attempt: "r1.1" as AttemptId });
    core.handle({ kind: "progress", attempt: "r1.1" as AttemptId, offset: 7 });
    const effects = core.handle({
      kind: "attemptEnded",
      attempt: "r1.1" as AttemptId,
      end: LOST,
    });
    const [attempt] = effects.flatMap((effect) =>
      effect.kind === "dispatch" ? [effect.attempt] : []
    );
    expect(attempt?.resumeOffset).toBe(7);
    expect(dispatchedTargets(effects)).not.toEqual([first]);
  });

  it("resumes every stream of an engine that dies, whatever the retry budget", () => {
    // Resuming a stream was counted as a retry. When an engine with 30 streams died, the budget of ten
    // retries ended most of them with an error although other engines had room.
    const core = new CoreFixture(engines({ slots: 100 }, { slots: 100 }));
    const attempts = Array.from(
      { length: 60 },
      (_, index) => `r${index + 1}.1` as AttemptId,
    );
    attempts.forEach(() => core.sendRequest({}));
    attempts.forEach((attempt) => core.handle({ kind: "commit", attempt }));
    attempts.forEach((attempt) =>
      core.handle({ kind: "progress", attempt, offset: 3 })
    );
    const effects = attempts.flatMap((attempt) =>
      core.handle({ kind: "attemptEnded", attempt, end: LOST })
    );
    expect([dispatchedTargets(effects).length, finalAnswers(effects).length])
      .toEqual([
        60,
        0,
      ]);
  });

  it("stops retrying when the budget is used up and nothing was delivered", () => {
    const core = new CoreFixture(
      engines({ slots: 100 }, { slots: 100 }, { slots: 100 }),
    );
    const effects = Array.from({ length: 30 }, (_, index) => {
      core.sendRequest({});
      return end(core, `r${index + 1}.1`, LOST);
    }).flat();
    expect([dispatchedTargets(effects).length, finalAnswers(effects).length])
      .toEqual([
        10,
        20,
      ]);
  });

  it("uses an endpoint that failed recently if there is no other", () => {
    const core = new CoreFixture([{ id: "p1", pool: "lookup" }]);
    core.sendRequest({ service: "lookup" });
    end(core, "r1.1", { kind: "unsent", detail: "refused" });
    expect(dispatchedTargets(core.sendRequest({ service: "lookup" }).effects))
      .toEqual([
        "p1",
      ]);
  });
});
