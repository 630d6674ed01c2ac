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
  ProcessEntry,
  RawEngine,
  type RawRequest,
  type RunScript,
} from "@sassafrasstep/playground/bytes";
import { CallerRun } from "./caller_run.ts";
import { openRequests } from "./open_requests.ts";
import { ATTEMPTS, TIMEOUT_MS, type WavePlan } from "./plan.ts";
import type { Disturbance } from "./plan_runs.ts";
import {
  type Broken,
  brokenPromise,
  type EntryHistory,
  type SeenCall,
  unservedWave,
} from "./promises.ts";
import { brokenRestore, playRestore, type SeenRestore } from "./restores.ts";
import { scriptOf } from "./script.ts";
import { brokenTerms, type EngineTerms, stateTerms } from "./terms.ts";

const STILL = new Int32Array(new SharedArrayBuffer(4));
/** Engines go on so much later than entries after the machine stood still. */
const LATER_MS = 50;

/** What came of a wave. */
export interface WaveResult {
  readonly plan: WavePlan;
  readonly broken: readonly Broken[];
  /** Where logs and plan lie, `undefined` where nothing was broken. */
  readonly folder: string | undefined;
  readonly seen: readonly SeenCall[];
}

/** Plays a wave; its files are kept where a promise was broken. */
export async function playWave(plan: WavePlan): Promise<WaveResult> {
  const folder = mkdtempSync(join(tmpdir(), "soak-"));
  const wave = new Wave(plan, folder);
  try {
    await wave.start();
    const seen = await wave.play();
    const broken = [
      ...judge(seen, { kind: plan.kind, history: wave.history }),
      ...wave.brokenTerms(),
      ...wave.brokenRestore(),
      ...(await wave.leftOpen()).map((what) => ({ call: "at the end", what })),
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

function judge(
  seen: readonly SeenCall[],
  wave: Parameters<typeof brokenPromise>[1],
): Broken[] {
  const broken = seen.flatMap((call) => {
    const what = brokenPromise(call, wave);
    return what === undefined ? [] : [{ call: call.call, what }];
  });
  const unserved = unservedWave(seen, wave.kind);
  return unserved === undefined ? broken : [...broken, unserved];
}

class Wave {
  readonly #plan: WavePlan;
  readonly #folder: string;
  readonly #engines: RawEngine[];
  readonly #fleet: ByteFleet;
  readonly #arrivals = new Map<string, number>();
  readonly #lives = new Map<string, number>();
  readonly history: EntryHistory = { killed: new Set(), wentOnAt: new Map() };
  keepsFiles = false;
  #restore: SeenRestore | undefined;

  constructor(plan: WavePlan, folder: string) {
    this.#plan = plan;
    this.#folder = folder;
    this.#engines = plan.engines.map((_, index) => {
      const id = `i-${index + 1}`;
      return new RawEngine(id, (request) => this.#script(id, request));
    });
    this.#fleet = new ByteFleet({
      engines: this.#engines.map((engine, index) => ({
        engine,
        region: plan.engines[index]!,
      })),
      entries: plan.entries,
      attempts: ATTEMPTS,
      timeout: TIMEOUT_MS,
      processes: plan.processes,
    });
  }

  async start(): Promise<void> {
    await this.#fleet.start();
  }

  async play(): Promise<SeenCall[]> {
    const { cases, entryEvents, terms, restore, stalls } = this.#plan;
    const seen = await Promise.all([
      ...cases.map((plan) => this.#ask(plan)),
      ...entryEvents.map((event) => this.#disturbEntry(event)),
      ...terms.map((each) => this.#stateTerms(each)),
      ...stalls.map((stall) => this.#standStill(stall)),
      ...restore === undefined ? [] : [this.#restoreStore(restore)],
    ]);
    return seen.flat();
  }

  async #ask(plan: WavePlan["cases"][number]): Promise<SeenCall[]> {
    await pause(plan.startMs);
    const run = new CallerRun(plan, (call) => this.#runsOf(call));
    return run.play(this.#fleet.entries.map(({ callers }) => callers));
  }

  #runsOf(call: string): RawRequest[] {
    return this.#engines.flatMap(({ runs }) => runs)
      .filter((run) => run.call === call);
  }

  /** The script of the next run of a call. */
  #script(engine: string, request: RawRequest): RunScript {
    const { call } = request;
    // A caller that goes on by itself asks under a further id.
    const [name] = call.split("-");
    const plan = this.#plan.cases.find((each) => each.call === name)!;
    const arrival = this.#arrivals.get(name!) ?? 0;
    this.#arrivals.set(name!, arrival + 1);
    const run = plan.runs[Math.min(arrival, plan.runs.length - 1)]!;
    const { disturbance } = run;
    const onStop = disturbance === undefined
      ? undefined
      : (): void => this.#disturb(engine, disturbance);
    return scriptOf(plan, run, { ...request, onStop });
  }

  #disturb(id: string, disturbance: Disturbance): void {
    const index = this.#engines.findIndex((engine) => engine.id === id);
    const { address } = this.#fleet.engines[index]!;
    const region = this.#plan.engines[index]!;
    switch (disturbance) {
      case "born": {
        const born = (this.#lives.get(id) ?? 1) + 1;
        this.#lives.set(id, born);
        return this.#fleet.publish(id, { address, region, born });
      }
      case "removed":
        return this.#fleet.withdraw(id);
      case "refused":
        return this.#engines[index]!.refuse();
      case "fewer":
        return this.#fleet.publishDocument({ attempts: ATTEMPTS - 1 });
      case "unresumable":
        return this.#fleet.publishDocument({ resumable: false });
      case "moved":
        return this.#fleet.publishDocument({ path_prefix: "/elsewhere/" });
    }
  }

  /** Holds everything at once, as a machine that is busy; processes of entries go on first. */
  async #standStill(
    { atMs, forMs }: WavePlan["stalls"][number],
  ): Promise<[]> {
    await pause(atMs);
    this.#signalAll("SIGSTOP");
    Atomics.wait(STILL, 0, 0, forMs);
    this.#signalAll("SIGCONT");
    Atomics.wait(STILL, 0, 0, LATER_MS);
    return [];
  }

  #signalAll(name: NodeJS.Signals): void {
    for (const entry of this.#fleet.entries) {
      if (entry instanceof ProcessEntry) {
        entry.signal(name);
      }
    }
  }

  async #disturbEntry(
    { atMs, entry, kind, forMs }: WavePlan["entryEvents"][number],
  ): Promise<[]> {
    const target = this.#fleet.entries[entry] as ProcessEntry;
    await pause(atMs);
    switch (kind) {
      case "kill":
        this.history.killed.add(target.callers);
        target.signal("SIGKILL");
        break;
      case "stop":
        target.signal("SIGTERM");
        break;
      case "pause":
        target.signal("SIGSTOP");
        await pause(forMs);
        target.signal("SIGCONT");
        this.history.wentOnAt.set(target.callers, performance.now());
    }
    return [];
  }

  async #stateTerms(terms: EngineTerms): Promise<[]> {
    await stateTerms(this.#engines[terms.engine]!, terms);
    return [];
  }

  async #restoreStore(
    restore: NonNullable<WavePlan["restore"]>,
  ): Promise<[]> {
    const { store, engines } = this.#fleet;
    this.#restore = await playRestore({
      store,
      engines: this.#engines,
      publish: (index, fields) => {
        const { engine: { id }, address } = engines[index]!;
        const region = this.#plan.engines[index]!;
        this.#fleet.publish(id, { address, region, born: 1, ...fields });
      },
      withdraw: (index) => this.#fleet.withdraw(engines[index]!.engine.id),
    }, restore);
    return [];
  }

  /** What engines got against what the store had acknowledged around its restore. */
  brokenRestore(): Broken[] {
    return this.#restore === undefined
      ? []
      : brokenRestore(this.#restore, this.#engines)
        .map(({ engine, what }) => ({ call: engine, what }));
  }

  /** What engines got against what they stated. */
  brokenTerms(): Broken[] {
    return this.#plan.terms.flatMap((terms) => {
      const engine = this.#engines[terms.engine]!;
      const what = brokenTerms(engine, terms);
      return what === undefined ? [] : [{ call: engine.id, what }];
    });
  }

  /** Requests that outlive all their callers. */
  async leftOpen(): Promise<string[]> {
    return await openRequests({
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
