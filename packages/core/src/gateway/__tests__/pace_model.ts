import {
  type AttemptId,
  type EndpointId,
  instant,
  milliseconds,
  type Randomness,
  SeededRandomness,
  ServicePace,
  type ZoneId,
} from "../../index.ts";
import { hash32 } from "../../ids/index.ts";
import { chooseEndpoint } from "../endpoint_placement.ts";
import { EndpointState } from "../endpoint_state.ts";
import { POOL } from "./engine_fixture.ts";

/** Time that callers give a request. */
const REQUEST_TIME_MS = 10_000;

/** What an engine reports, whatever its real pace is. */
export type ReportKind =
  | "true"
  | "none"
  | "always_calm"
  | "always_slow"
  | "jumping";

/** An engine of the model. */
export interface ModelledEngine {
  readonly reports: ReportKind;
  /** Lasting factor on the duration of its work. */
  readonly lasting: number;
}

/** Parameters of one run. */
export interface PaceModelOptions {
  readonly engines: readonly ModelledEngine[];
  readonly entries: number;
  /** Time after which the contention of a machine is drawn anew. */
  readonly drawPeriodMs: number;
  /** Share of the machines that are slow at any moment. */
  readonly slowShare: number;
  /** Time until an entry hears of what its peers sent. */
  readonly delayMs: number;
  /** Work in proportion to what all engines can do. */
  readonly utilization: number;
  /** Whether peers are told of contention. */
  readonly tells: boolean;
  readonly usesPace: boolean;
  readonly seed: number;
}

/** What happened in one run. */
export interface PaceResult {
  readonly meanStartMs: number;
  /** Requests that each engine got in each window. */
  readonly windows: readonly (readonly number[])[];
}

export const WINDOW_MS = 2_000;
const PREFILL_TOKENS_PER_MS = 80;
const SLOW_FACTOR = 2.5;
const MIN_PROMPT_TOKENS = 1_600;
const MAX_PROMPT_TOKENS = 6_400;
const DECODE_MS = 60;
const OVERHEAD_MS = 12;
const TELL_PERIOD_MS = 200;
const MAX_BIAS_MS = 15;

interface Job {
  readonly attempt: AttemptId;
  readonly entry: number;
  readonly arrivedAt: number;
  readonly tokens: number;
  left: number;
}

/** Entries that choose among engines of changing pace, and hear of each other's choices with a delay. */
export class PaceModel {
  readonly #options: PaceModelOptions;
  readonly #random: Randomness;
  readonly #states: EndpointState[][];
  readonly #queues: Job[][];
  readonly #contention: number[];
  readonly #timers = new Map<number, (() => void)[]>();
  readonly #waiting: Job[] = [];
  readonly #windows: number[][] = [];
  #now = 0;
  #attempts = 0;
  #startTimes = 0;
  #started = 0;

  constructor(options: PaceModelOptions) {
    this.#options = options;
    this.#random = new SeededRandomness(options.seed);
    this.#states = Array.from({ length: options.entries }, () => {
      const pace = new ServicePace();
      pace.isEnabled = options.usesPace;
      return options.engines.map((_, index) => createState(index, pace));
    });
    this.#queues = options.engines.map(() => []);
    this.#contention = options.engines.map(() => 1);
  }

  run(durationMs: number): PaceResult {
    const { engines, drawPeriodMs, slowShare, tells } = this.#options;
    const draws = engines.map(() =>
      Math.floor(this.#random.next() * drawPeriodMs)
    );
    for (const end = this.#now + durationMs; this.#now < end; this.#now++) {
      this.#timers.get(this.#now)?.forEach((run) => run());
      this.#timers.delete(this.#now);
      draws.forEach((offset, index) => {
        if (this.#now % drawPeriodMs === offset) {
          const isSlow = this.#random.next() < slowShare;
          this.#contention[index] = isSlow ? SLOW_FACTOR : 1;
        }
      });
      if (this.#now % TELL_PERIOD_MS === 0 && tells) {
        this.#tell();
      }
      this.#arrive();
      engines.forEach((_, index) => this.#prefill(index));
      this.#place();
    }
    return {
      meanStartMs: this.#startTimes / this.#started,
      windows: this.#windows,
    };
  }

  #after(ms: number, run: () => void): void {
    const at = this.#now + Math.max(1, Math.round(ms));
    this.#timers.set(at, [...this.#timers.get(at) ?? [], run]);
  }

  #arrive(): void {
    const { engines, entries, utilization, slowShare } = this.#options;
    const meanSlowdown = 1 + slowShare * (SLOW_FACTOR - 1);
    const capacity = engines.reduce(
      (sum, { lasting }) =>
        sum + PREFILL_TOKENS_PER_MS / lasting / meanSlowdown,
      0,
    );
    const mean = (MIN_PROMPT_TOKENS + MAX_PROMPT_TOKENS) / 2;
    if (this.#random.next() < utilization * capacity / mean) {
      const tokens = Math.round(
        MIN_PROMPT_TOKENS +
          this.#random.next() * (MAX_PROMPT_TOKENS - MIN_PROMPT_TOKENS),
      );
      this.#attempts++;
      this.#waiting.push({
        attempt: `a${this.#attempts}` as AttemptId,
        entry: Math.floor(this.#random.next() * entries),
        arrivedAt: this.#now,
        tokens,
        left: tokens,
      });
    }
  }

  #place(): void {
    const waiting = this.#waiting.splice(0);
    for (const job of waiting) {
      const { entry, tokens } = job;
      const states = this.#states[entry]!;
      const found = chooseEndpoint(
        {
          prompt: {
            model: "m",
            promptTokens: tokens,
            outputTokens: 50,
            outputHint: undefined,
            parts: [],
          },
          zone: "z" as ZoneId,
          urgent: true,
          endsAt: instant(this.#now + REQUEST_TIME_MS),
          biasOf: ({ record }) =>
            MAX_BIAS_MS * hash32(`${entry} ${record.id}`) / 2 ** 32,
          holder: undefined,
        },
        states,
        instant(this.#now),
      );
      if (found.kind !== "chosen") {
        this.#waiting.push(job);
        continue;
      }
      const index = states.indexOf(found.state);
      this.#change(entry, index, (state) =>
        state.addAttempt(
          job.attempt,
          { prefill: tokens, tokens },
          instant(this.#now),
        ));
      this.#queues[index]!.push(job);
      const window = Math.floor(this.#now / WINDOW_MS);
      this.#windows[window] ??= this.#queues.map(() => 0);
      this.#windows[window][index]!++;
    }
  }

  #prefill(index: number): void {
    const { lasting } = this.#options.engines[index]!;
    const queue = this.#queues[index]!;
    let tokens = PREFILL_TOKENS_PER_MS / lasting / this.#contention[index]!;
    while (queue.length > 0 && tokens > 0) {
      const [job] = queue;
      const done = Math.min(tokens, job!.left);
      job!.left -= done;
      tokens -= done;
      if (job!.left > 0) {
        return;
      }
      queue.shift();
      this.#after(OVERHEAD_MS, () => this.#start(index, job!));
    }
  }

  #start(index: number, { entry, attempt, arrivedAt }: Job): void {
    const now = instant(this.#now);
    const report = this.#reportOf(index);
    this.#startTimes += this.#now - arrivedAt;
    this.#started++;
    this.#change(entry, index, (state) => {
      if (report !== undefined) {
        state.pace.recordContention(report, now);
      }
      state.noteFirstEvent(attempt, now);
    });
    this.#after(
      DECODE_MS,
      () =>
        this.#change(
          entry,
          index,
          (state) => state.removeAttempt(attempt, instant(this.#now)),
        ),
    );
  }

  #reportOf(index: number): number | undefined {
    switch (this.#options.engines[index]!.reports) {
      case "true":
        return this.#contention[index]! * 100;
      case "none":
        return undefined;
      case "always_calm":
        return 1;
      case "always_slow":
        return 100_000;
      case "jumping":
        return 10 ** (1 + this.#random.next() * 3);
    }
  }

  /** Changes the state at one entry, and at its peers after the delay. */
  #change(
    entry: number,
    index: number,
    apply: (state: EndpointState) => void,
  ): void {
    const state = this.#states[entry]![index]!;
    const before = state.report();
    apply(state);
    const work = state.report();
    this.#after(
      this.#options.delayMs,
      () =>
        this.#states.forEach((states, other) => {
          if (other !== entry) {
            states[index]!.applyPeerWork(before, -1, instant(this.#now));
            states[index]!.applyPeerWork(work, 1, instant(this.#now));
          }
        }),
    );
  }

  #tell(): void {
    const now = instant(this.#now);
    this.#states.forEach((states, entry) =>
      states.forEach(({ pace }, index) => {
        const told = pace.unsharedDifference(now) > 0
          ? pace.share(now)
          : undefined;
        if (told !== undefined) {
          this.#after(1, () =>
            this.#states.forEach((others, other) => {
              if (other !== entry) {
                others[index]!.pace.receiveContention(
                  told,
                  instant(this.#now),
                );
              }
            }));
        }
      })
    );
  }
}

function createState(index: number, pace: ServicePace): EndpointState {
  const id = `e${index}` as EndpointId;
  return new EndpointState(
    {
      id,
      service: POOL.id,
      address: `${id}:1`,
      zone: "z" as ZoneId,
      softwareVersion: "v",
      slots: 64,
      state: "ready",
      coldFor: milliseconds(0),
      leavesIn: undefined,
      life: undefined,
      sequence: 1,
    },
    POOL,
    instant(0),
    { pace },
  );
}
