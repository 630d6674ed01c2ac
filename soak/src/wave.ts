/**
 * Plays one wave with engines, entries and callers over real sockets.
 *
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import {
  ByteFleet,
  findRetryExcess,
  ProcessEntry,
  RawEngine,
  type RawRequest,
  type RunScript,
} from "@sassafrasstep/playground/bytes";
import { CallerRun } from "./caller_run.ts";
import { findOpenRequests } from "./open_requests.ts";
import {
  MAX_ATTEMPTS,
  RETRY_SLACK,
  ROUTE_TIMEOUT_MS,
  type WavePlan,
} from "./plan.ts";
import type { Disturbance } from "./plan_runs.ts";
import {
  type EntryHistory,
  findUnservedWave,
  findVersionViolations,
  findViolation,
  type ObservedCall,
  type ObservedRun,
  type Violation,
} from "./promises.ts";
import {
  findRestoreViolations,
  type ObservedRestore,
  playRestore,
} from "./restores.ts";
import { createScript } from "./script.ts";
import { applyTerms, type EngineTerms, findTermsViolation } from "./terms.ts";

/** Software versions of the engines, in turn. */
const SOFTWARE_VERSIONS = ["v1", "v2"];
/** The entries' settings by default. */
const DEFAULT_RETRY_RATIO = 0.1;
const DEFAULT_RETRY_WINDOW_MS = 10_000;
/** Never notified: `Atomics.wait` on it blocks this process for a given time. */
const SLEEP_CELL = new Int32Array(new SharedArrayBuffer(4));
/** After a stall, this process, which runs the engines, resumes this much later than the entry processes. */
const RESUME_DELAY_MS = 50;

/** The result of a wave. */
export interface WaveResult {
  readonly plan: WavePlan;
  /** Violated guarantees. */
  readonly broken: readonly Violation[];
  /** Folder with the logs, plan and result, `undefined` if no guarantee was violated. */
  readonly folder: string | undefined;
  /** All requests of the wave's callers. */
  readonly seen: readonly ObservedCall[];
}

/** Plays a wave and keeps its files if a guarantee was violated. */
export async function playWave(plan: WavePlan): Promise<WaveResult> {
  const folder = mkdtempSync(join(tmpdir(), "soak-"));
  const wave = new Wave(plan, folder);
  try {
    await wave.start();
    const seen = await wave.play();
    const broken = [
      ...findViolations(seen, { kind: plan.kind, history: wave.history }),
      ...findVersionViolations(seen),
      ...wave.findTermsViolations(),
      ...wave.findRestoreViolations(),
      ...wave.findRetryViolations(seen),
      ...(await wave.findOpenRequests()).map((what) => ({
        call: "at the end",
        what,
      })),
    ];
    if (broken.length > 0) {
      wave.writeFiles({ broken, seen });
    }
    return {
      plan,
      broken,
      seen,
      folder: broken.length > 0 ? folder : undefined,
    };
  } finally {
    await wave.close();
    if (!wave.keepsFiles) {
      rmSync(folder, { recursive: true });
    }
  }
}

function findViolations(
  calls: readonly ObservedCall[],
  context: Parameters<typeof findViolation>[1],
): Violation[] {
  const violations = calls.flatMap((call) => {
    const what = findViolation(call, context);
    return what === undefined ? [] : [{ call: call.call, what }];
  });
  const unserved = findUnservedWave(calls, context.kind);
  return unserved === undefined ? violations : [...violations, unserved];
}

function versionOf(engine: number): string {
  return SOFTWARE_VERSIONS[engine % SOFTWARE_VERSIONS.length]!;
}

class Wave {
  readonly #plan: WavePlan;
  readonly #folder: string;
  readonly #engines: RawEngine[];
  readonly #fleet: ByteFleet;
  readonly #requestCounts = new Map<string, number>();
  readonly #lives = new Map<string, number>();
  readonly history: EntryHistory = { killed: new Set(), resumedAt: new Map() };
  keepsFiles = false;
  #observedRestore: ObservedRestore | undefined;

  constructor(plan: WavePlan, folder: string) {
    this.#plan = plan;
    this.#folder = folder;
    this.#engines = plan.engines.map((_, index) => {
      const id = `i-${index + 1}`;
      return new RawEngine(id, (request) => this.#nextScript(id, request));
    });
    this.#fleet = new ByteFleet({
      engines: this.#engines.map((engine, index) => ({
        engine,
        region: plan.engines[index]!,
        version: versionOf(index),
      })),
      entries: plan.entries,
      attempts: MAX_ATTEMPTS,
      timeout: ROUTE_TIMEOUT_MS,
      processes: plan.processes,
      retrySlack: plan.kind === "retries" ? RETRY_SLACK : undefined,
    });
  }

  async start(): Promise<void> {
    await this.#fleet.start();
  }

  async play(): Promise<ObservedCall[]> {
    const { cases, entryEvents, terms, restore, stalls } = this.#plan;
    const calls = await Promise.all([
      ...cases.map((plan) => this.#playCase(plan)),
      ...entryEvents.map((event) => this.#playEntryEvent(event)),
      ...terms.map((each) => this.#playTerms(each)),
      ...stalls.map((stall) => this.#stallFleet(stall)),
      ...restore === undefined ? [] : [this.#playStoreRestore(restore)],
    ]);
    return calls.flat();
  }

  async #playCase(plan: WavePlan["cases"][number]): Promise<ObservedCall[]> {
    await pause(plan.startMs);
    const run = new CallerRun(plan, (call) => this.#findRuns(call));
    return run.play(this.#fleet.entries.map(({ callers }) => callers));
  }

  #findRuns(call: string): ObservedRun[] {
    return this.#engines.flatMap(({ runs }, index) =>
      runs.filter((run) => run.call === call).map((run) => ({
        ...run,
        version: versionOf(index),
      }))
    );
  }

  /** Creates the script for the next request of a call that reaches an engine. */
  #nextScript(engine: string, request: RawRequest): RunScript {
    const { call } = request;
    // A caller that resumes a stream by itself appends a number to the call id of the case, such as `-1`.
    const [caseName] = call.split("-");
    const plan = this.#plan.cases.find((each) => each.call === caseName)!;
    const requestIndex = this.#requestCounts.get(caseName!) ?? 0;
    this.#requestCounts.set(caseName!, requestIndex + 1);
    const run = plan.runs[Math.min(requestIndex, plan.runs.length - 1)]!;
    const { disturbance } = run;
    const onStop = disturbance === undefined
      ? undefined
      : (): void => this.#applyDisturbance(engine, disturbance);
    return createScript(plan, run, { ...request, onStop });
  }

  #applyDisturbance(id: string, disturbance: Disturbance): void {
    const index = this.#engines.findIndex((engine) => engine.id === id);
    const { address } = this.#fleet.engines[index]!;
    const region = this.#plan.engines[index]!;
    const version = versionOf(index);
    switch (disturbance) {
      case "born": {
        const life = (this.#lives.get(id) ?? 1) + 1;
        this.#lives.set(id, life);
        return this.#fleet.publish(id, {
          address,
          region,
          version,
          born: life,
        });
      }
      case "removed":
        return this.#fleet.withdraw(id);
      case "refused":
        return this.#engines[index]!.refuse();
      case "fewer":
        return this.#fleet.publishDocument({ attempts: MAX_ATTEMPTS - 1 });
      case "unresumable":
        return this.#fleet.publishDocument({ resumable: false });
      case "moved":
        return this.#fleet.publishDocument({ path_prefix: "/elsewhere/" });
    }
  }

  /** Stalls all processes at once, like a busy machine; entry processes resume first. */
  async #stallFleet(
    { atMs, forMs: durationMs }: WavePlan["stalls"][number],
  ): Promise<[]> {
    await pause(atMs);
    this.#signalAll("SIGSTOP");
    Atomics.wait(SLEEP_CELL, 0, 0, durationMs);
    this.#signalAll("SIGCONT");
    Atomics.wait(SLEEP_CELL, 0, 0, RESUME_DELAY_MS);
    return [];
  }

  #signalAll(name: NodeJS.Signals): void {
    for (const entry of this.#fleet.entries) {
      if (entry instanceof ProcessEntry) {
        entry.signal(name);
      }
    }
  }

  async #playEntryEvent(
    { atMs, entry, kind, forMs: durationMs }: WavePlan["entryEvents"][number],
  ): Promise<[]> {
    const target = this.#fleet.entries[entry] as ProcessEntry;
    await pause(atMs);
    switch (kind) {
      case "kill":
        this.history.killed.add(target.callers);
        target.signal("SIGKILL");
        break;
      case "restart":
        this.history.killed.add(target.callers);
        await target.restart();
        break;
      case "stop":
        target.signal("SIGTERM");
        break;
      case "pause":
        target.signal("SIGSTOP");
        await pause(durationMs);
        target.signal("SIGCONT");
        this.history.resumedAt.set(target.callers, performance.now());
    }
    return [];
  }

  async #playTerms(terms: EngineTerms): Promise<[]> {
    await applyTerms(this.#engines[terms.engine]!, terms);
    return [];
  }

  async #playStoreRestore(
    restore: NonNullable<WavePlan["restore"]>,
  ): Promise<[]> {
    const { store, engines } = this.#fleet;
    this.#observedRestore = await playRestore({
      store,
      engines: this.#engines,
      publish: (index, fields) => {
        const { engine: { id }, address } = engines[index]!;
        const region = this.#plan.engines[index]!;
        const version = versionOf(index);
        this.#fleet.publish(id, {
          address,
          region,
          version,
          born: 1,
          ...fields,
        });
      },
      withdraw: (index) => this.#fleet.withdraw(engines[index]!.engine.id),
    }, restore);
    return [];
  }

  /** Finds engines that received requests contrary to changes acknowledged around the restore. */
  findRestoreViolations(): Violation[] {
    return this.#observedRestore === undefined
      ? []
      : findRestoreViolations(this.#observedRestore, this.#engines)
        .map(({ engine, what }) => ({ call: engine, what }));
  }

  /** Finds engines that received requests contrary to their terms. */
  findTermsViolations(): Violation[] {
    return this.#plan.terms.flatMap((terms) => {
      const engine = this.#engines[terms.engine]!;
      const what = findTermsViolation(engine, terms);
      return what === undefined ? [] : [{ call: engine.id, what }];
    });
  }

  /** Finds more retries by all entries together than the settings allow, from what the engines received. */
  findRetryViolations(seen: readonly ObservedCall[]): Violation[] {
    if (this.#plan.kind !== "retries") {
      return [];
    }
    const excess = findRetryExcess({
      arrivals: this.#engines.flatMap(({ received }) => received),
      requests: seen.map(({ askedAt }) => askedAt),
    }, {
      ratio: DEFAULT_RETRY_RATIO,
      slack: RETRY_SLACK,
      windowMs: DEFAULT_RETRY_WINDOW_MS,
    });
    return excess === undefined ? [] : [{
      call: "all",
      what: `${excess.retries} retries in a window, ${excess.allowed} allowed`,
    }];
  }

  /** Finds requests that outlive all their callers. */
  async findOpenRequests(): Promise<string[]> {
    return await findOpenRequests({
      engines: this.#engines,
      entries: this.#fleet.entries.filter((entry) =>
        !(entry instanceof ProcessEntry) || entry.running
      ),
    });
  }

  writeFiles(result: Pick<WaveResult, "broken" | "seen">): void {
    this.keepsFiles = true;
    const write = (name: string, value: unknown): void =>
      writeFileSync(
        join(this.#folder, name),
        JSON.stringify(value, undefined, 1),
      );
    write("plan.json", this.#plan);
    write("result.json", result);
    for (const [index, entry] of this.#fleet.entries.entries()) {
      write(`entry-${index + 1}.json`, entry.lines());
    }
  }

  async close(): Promise<void> {
    await this.#fleet.close();
  }
}
