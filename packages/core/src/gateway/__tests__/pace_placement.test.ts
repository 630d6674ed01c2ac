import fc from "fast-check";
import { beforeEach, describe, expect, it } from "vitest";
import {
  type AttemptId,
  type EndpointId,
  instant,
  milliseconds,
  type ServiceId,
  ServicePace,
  type ZoneId,
} from "../../index.ts";
import {
  chooseEndpoint,
  MAX_PREFILL_BACKLOG_MS,
  type Placement,
} from "../endpoint_placement.ts";
import { EndpointState } from "../endpoint_state.ts";
import { DEFAULT_PREFILL_TOKENS_PER_MS } from "../prompt_cost.ts";
import { POOL } from "./engine_fixture.ts";
import {
  type ModelledEngine,
  PaceModel,
  type PaceModelOptions,
  type PaceResult,
  type ReportKind,
} from "./pace_model.ts";

const RUN_MS = 8_000;
/** Largest ratio of the mean start times of one run, with pace and without: the runs differ by chance. */
const MAX_RATIO = 1.15;
/** The same where some engines report what isn't true. */
const MAX_RATIO_WITH_LIES = 1.5;
/** An engine's largest multiple of its equal share of the requests of a window. */
const MAX_SHARE = 4;
/** Windows in a row without any request to an engine. */
const MAX_EMPTY_WINDOWS = 2;

const LONG = Math.floor(
  MAX_PREFILL_BACKLOG_MS * DEFAULT_PREFILL_TOKENS_PER_MS * 0.9,
);

function engines(
  reports: fc.Arbitrary<ReportKind>,
): fc.Arbitrary<ModelledEngine[]> {
  return fc.array(
    fc.record<ModelledEngine>({
      reports,
      lasting: fc.constantFrom(1, 1, 1.3),
    }),
    { minLength: 4, maxLength: 16 },
  );
}

const conditions = fc.record({
  entries: fc.integer({ min: 2, max: 16 }),
  drawPeriodMs: fc.integer({ min: 300, max: 900 }),
  slowShare: fc.constantFrom(0.15, 0.15, 0.5),
  delayMs: fc.integer({ min: 5, max: 60 }),
  utilization: fc.double({ min: 0.4, max: 0.85, noNaN: true }),
  tells: fc.boolean(),
  seed: fc.nat(),
});

function run(options: PaceModelOptions): PaceResult {
  return new PaceModel(options).run(RUN_MS);
}

function ratio(options: Omit<PaceModelOptions, "usesPace">): number {
  return run({ ...options, usesPace: true }).meanStartMs /
    run({ ...options, usesPace: false }).meanStartMs;
}

describe("the pace of engines", () => {
  describe("in the model of a region", () => {
    // Guards against entries that all send their work to the calmest machine before they hear of each other's.
    it("doesn't make requests start later under any conditions", () => {
      fc.assert(
        fc.property(
          engines(fc.constant("true")),
          conditions,
          (engines, options) => {
            expect(ratio({ engines, ...options })).toBeLessThan(MAX_RATIO);
          },
        ),
        { numRuns: 25 },
      );
    });

    it("makes requests start sooner on average", () => {
      const engines = Array.from({ length: 10 }, (_, index) => ({
        reports: "true" as const,
        lasting: index % 3 === 2 ? 1.3 : 1,
      }));
      const ratios = [1, 2, 3, 4, 5, 6, 7, 8].map((seed) =>
        ratio({
          engines,
          entries: 4,
          drawPeriodMs: 550,
          slowShare: 0.15,
          delayMs: 25,
          utilization: 0.6,
          tells: true,
          seed,
        })
      );
      const mean = ratios.reduce((sum, item) => sum + item) / ratios.length;
      expect(mean).toBeLessThan(1);
    });

    // Guards against a false, jumping or missing figure that draws all work to an engine or keeps all from it.
    it("leaves each engine its part of the work, whatever engines report", () => {
      const reports = fc.constantFrom<ReportKind>(
        "true",
        "true",
        "true",
        "none",
        "always_calm",
        "always_slow",
        "jumping",
      );
      fc.assert(
        fc.property(engines(reports), conditions, (engines, options) => {
          const parameters = { engines, ...options };
          const { windows } = run({ ...parameters, usesPace: true });
          const empty = engines.map(() => 0);
          for (const window of windows) {
            const total = window.reduce((sum, count) => sum + count, 0);
            window.forEach((count, index) => {
              expect(count * engines.length / total).toBeLessThan(MAX_SHARE);
              empty[index] = count === 0 ? empty[index]! + 1 : 0;
            });
            expect(Math.max(...empty)).toBeLessThanOrEqual(MAX_EMPTY_WINDOWS);
          }
          expect(ratio(parameters)).toBeLessThan(MAX_RATIO_WITH_LIES);
        }),
        { numRuns: 25 },
      );
    });

    // Guards against a change of decisions in deployments that don't use the pace.
    it.each(
      [
        ["is not in use", "true", false],
        ["is not reported", "none", true],
      ] as const,
    )("changes no choice where it %s", (_, reports, usesPace) => {
      const options = {
        entries: 4,
        drawPeriodMs: 550,
        slowShare: 0.15,
        delayMs: 25,
        utilization: 0.7,
        tells: true,
        seed: 7,
      };
      const engines = (reports: ReportKind) =>
        Array.from({ length: 8 }, () => ({ reports, lasting: 1 }));
      expect(run({ ...options, engines: engines(reports), usesPace })).toEqual(
        run({ ...options, engines: engines("none"), usesPace: false }),
      );
    });
  });

  describe("in a choice", () => {
    let pace: ServicePace;
    let attempts = 0;

    beforeEach(() => {
      pace = new ServicePace();
      pace.isEnabled = true;
    });

    function create(name: string, isEngine = true): EndpointState {
      return new EndpointState(
        {
          id: name as EndpointId,
          service: POOL.id,
          address: `${name}:1`,
          zone: "z1" as ZoneId,
          softwareVersion: "v",
          slots: 6,
          state: "ready",
          coldFor: milliseconds(0),
          leavesIn: undefined,
          life: undefined,
          sequence: 1,
        },
        isEngine
          ? POOL
          : { ...POOL, id: "plain" as ServiceId, engine: undefined },
        instant(0),
        { pace },
      );
    }

    function send(state: EndpointState, prefill: number, at = 0): AttemptId {
      attempts++;
      const id = `a${attempts}` as AttemptId;
      state.addAttempt(id, { prefill, tokens: prefill }, instant(at));
      return id;
    }

    function choose(
      states: readonly EndpointState[],
      { tokens = 3_000, at = 1 }: { tokens?: number; at?: number } = {},
    ): Placement {
      return chooseEndpoint(
        {
          prompt: {
            model: "m",
            promptTokens: tokens,
            outputTokens: 50,
            outputHint: undefined,
            parts: [],
          },
          zone: "z1" as ZoneId,
          urgent: false,
          endsAt: instant(10_000),
          biasOf: () => 0,
          holder: undefined,
        },
        states,
        instant(at),
      );
    }

    function chosen(
      states: readonly EndpointState[],
      options?: { tokens?: number; at?: number },
    ): string {
      const found = choose(states, options);
      return found.kind === "chosen" ? found.state.record.id : found.kind;
    }

    it("avoids an engine that is slow at present", () => {
      const [slow, calm] = [create("slow"), create("calm")];
      slow.pace.recordContention(250, instant(0));
      expect(chosen([slow, calm])).toBe("calm");
    });

    it("forgets that an engine was slow", () => {
      const [slow, calm] = [create("slow"), create("calm")];
      slow.pace.recordContention(250, instant(0));
      send(calm, 500, 0);
      expect(chosen([slow, calm], { at: 1 })).toBe("calm");
      expect(chosen([slow, calm], { at: 5_000 })).toBe("slow");
    });

    // Guards against streams that pause longer than their objective because a slow machine prefills a full backlog.
    it("gives a slow engine less to prefill at a time", () => {
      const engine = create("e");
      send(engine, LONG / 2);
      expect(chosen([engine], { tokens: LONG / 2 })).toBe("e");
      engine.pace.recordContention(250, instant(0));
      expect(chosen([engine], { tokens: LONG / 2 })).toBe("busy");
    });

    it("expects a longer wait at a slow engine", () => {
      const engine = create("e");
      send(engine, LONG);
      const usual = choose([engine], { tokens: LONG });
      engine.pace.recordContention(250, instant(0));
      const slow = choose([engine], { tokens: LONG });
      if (usual.kind !== "busy" || slow.kind !== "busy") {
        throw new Error("Found a place at a busy engine");
      }
      expect(slow.wait).toBeGreaterThan(2 * usual.wait);
    });

    // Guards against a region without any place while all of its machines are slow.
    it("still uses a slow engine that has nothing to do", () => {
      const engine = create("e");
      engine.pace.recordContention(100_000, instant(0));
      expect(chosen([engine], { tokens: LONG })).toBe("e");
    });

    it("corrects the measured prefill rate for contention", () => {
      const [calm, slow] = [create("calm"), create("slow")];
      for (let turn = 0; turn < 40; turn++) {
        const at = turn * 10_000;
        const measure = (state: EndpointState, contention: number) => {
          const attempt = send(state, 4_000, at);
          const end = instant(at + 12 + contention);
          state.pace.recordContention(contention, end);
          state.noteFirstEvent(attempt, end);
          state.removeAttempt(attempt, end);
        };
        measure(calm, 100);
        measure(slow, 250);
      }
      expect(slow.prefillRate / calm.prefillRate).toBeCloseTo(1, 1);
    });

    describe("of a plain endpoint", () => {
      /** Lets endpoints answer requests in turn, each in its own number of milliseconds. */
      function answer(
        durations: readonly (readonly [EndpointState, number])[],
      ): void {
        for (let turn = 0; turn < 60; turn++) {
          const at = instant(turn * 1_000);
          for (const [state, duration] of durations) {
            const attempt = send(state, 0, at);
            const end = instant(at + duration);
            state.pace.recordContention(100, end);
            state.noteAnswer(attempt, at, end);
            state.removeAttempt(attempt, end);
          }
        }
      }

      it("avoids one that is lastingly slow", () => {
        const [slow, fast] = [create("slow", false), create("fast", false)];
        answer([[slow, 65], [fast, 50]]);
        expect(slow.pace.lasting).toBeGreaterThan(fast.pace.lasting * 1.2);
        expect(chosen([slow, fast], { at: 100_000 })).toBe("fast");
      });

      it("avoids one that is slow at present", () => {
        const [slow, calm] = [create("slow", false), create("calm", false)];
        answer([[slow, 50], [calm, 50]]);
        slow.pace.recordContention(250, instant(100_000));
        expect(chosen([slow, calm], { at: 100_001 })).toBe("calm");
      });

      // Guards against an endpoint that looks slow because its requests were queued.
      it("learns nothing from answers to requests without a free slot", () => {
        const [queued, usual] = [create("queued", false), create("u", false)];
        answer([[queued, 50], [usual, 50]]);
        const before = queued.pace.lasting;
        for (let turn = 0; turn < 6; turn++) {
          send(queued, 0, 100_000);
        }
        const late = send(queued, 0, 100_000);
        queued.pace.recordContention(100, instant(101_000));
        queued.noteAnswer(late, instant(100_000), instant(101_000));
        expect(queued.pace.lasting).toBe(before);
      });
    });
  });
});
