/**
 * Plays a wave of actions with overlapping faults, and judges it by the ledger of what ran.
 *
 * @module
 */
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { hash32 } from "@sassafrasstep/core";
import { Draw } from "../draw.ts";
import type { Violation } from "../promises.ts";
import { ActionCallers, type ObservedAnswer } from "./action_caller.ts";
import { findActionViolations } from "./action_checks.ts";
import {
  type Closure,
  findLateChanges,
  type PublishedDocument,
} from "./change_checks.ts";
import { FIRST_DOCUMENT } from "./change_faults.ts";
import { findKeyViolations } from "./key_checks.ts";
import { KEY_LIFETIME_MS } from "./key_plan.ts";
import {
  findOddViolations,
  findUnservedBeside,
  sendOddInput,
} from "./odd_caller.ts";
import {
  findKeptResources,
  findOverused,
  UsageMeter,
} from "./process_usage.ts";
import { findOldSettings, SettingsChanges } from "./settings_changes.ts";
import { DelayMeter } from "./delay_meter.ts";
import type { Fault } from "./action_faults.ts";
import type { ActionWavePlan } from "./action_plan.ts";
import { findPlaceViolations } from "./home_checks.ts";
import {
  type Absence,
  DirectoryWatch,
  findDeadNamed,
} from "./directory_watch.ts";
import { findLackOfRecovery } from "./recovery_checks.ts";
import { drawRunPlan, type RunPlan } from "./behaviours.ts";
import { LinkedFleet } from "./linked_fleet.ts";
import { RunLedger } from "./run_ledger.ts";

/** After a disturbance an entry needs this long to hear of all that it missed. */
const SETTLE_MS = 6_000;
/** Time for late runs, after all callers have their answers. */
const AFTERMATH_MS = 1_500;
const DRAIN_MS = 4_000;
/** What all endpoints do where only callers are odd. */
const SOUND_RUN = {
  behaviour: { kind: "answers" },
  workMs: 20,
  eventMs: 5,
  closes: undefined,
} as const;
const RELOAD_MS = 500;
const STRICT_KEYS =
  `key_lifetime_ms = ${KEY_LIFETIME_MS}\nstrict_keys = true\n`;
/** Time after a long wave in which entries close what they no longer use: they keep idle peers' connections for 60 s. */
const REST_MS = 65_000;

/** The result of a wave. */
export interface ActionWaveResult {
  readonly plan: ActionWavePlan;
  readonly broken: readonly Violation[];
  readonly answers: readonly ObservedAnswer[];
  readonly runs: number;
  /** Bodies that entries sent each other, and answers of directories. */
  readonly bodies: number;
  readonly directoryAnswers: number;
  /** Folder with the plan, logs and ledger, `undefined` if no guarantee was violated. */
  readonly folder: string | undefined;
}

/** Plays a wave and keeps its files if a guarantee was violated. */
export async function playActionWave(
  plan: ActionWavePlan,
): Promise<ActionWaveResult> {
  const wave = new ActionWave(plan);
  try {
    return await wave.play();
  } finally {
    await wave.close();
  }
}

class ActionWave {
  readonly #plan: ActionWavePlan;
  readonly #ledger = new RunLedger();
  readonly #fleet: LinkedFleet;
  readonly #callers: ActionCallers;
  readonly #runCounts = new Map<string, number>();
  /** Spans of time in which an entry or a link of it was disturbed. */
  readonly #disturbances: { entry: string; from: number; to: number }[] = [];
  #endpointStarts = 0;
  /** Entries that are being killed, stopped and started again. */
  readonly #restarting = new Set<number>();
  #restarts = 0;
  readonly #absences: Absence[] = [];
  readonly #closures: Closure[] = [];
  readonly #settings: SettingsChanges;
  readonly #delays = new DelayMeter();
  readonly #documents: PublishedDocument[] = [{ ...FIRST_DOCUMENT, at: 0 }];
  /** When all entries were killed, and when the last of them started again. */
  #allKilled: { killedAt: number; startedAt: number } | undefined;

  constructor(plan: ActionWavePlan) {
    this.#plan = plan;
    this.#fleet = new LinkedFleet(plan, {
      ledger: this.#ledger,
      plan: (call) => this.#nextRun(call),
    });
    this.#settings = new SettingsChanges(this.#fleet.entries);
    this.#callers = new ActionCallers((entry) => this.#fleet.callersOf(entry));
  }

  async play(): Promise<ActionWaveResult> {
    const { actions, faults } = this.#plan;
    await this.#fleet.start();
    if (this.#plan.kind === "keys") {
      await this.#enforceKeys();
    }
    const odd = Promise.all(
      this.#plan.oddInputs.map((input) =>
        sendOddInput(input, this.#fleet.entries[input.entry]![input.listener])
      ),
    );
    const usage = this.#plan.kind === "long" || this.#plan.kind === "bytes"
      ? new UsageMeter(this.#fleet.entries)
      : undefined;
    const directories = new DirectoryWatch(
      this.#fleet.entries,
      this.#plan.entries,
    );
    void directories.run();
    const faultsPlayed = Promise.all(
      faults.map((fault) => this.#playFault(fault)),
    );
    const observed = await Promise.all(actions.map(async (action) => {
      await pause(action.startMs);
      return this.#callers.play(action);
    }));
    const answers = observed.flat();
    await faultsPlayed;
    const oddAnswers = await odd;
    await pause(AFTERMATH_MS);
    directories.stop();
    if (this.#plan.kind === "long") {
      this.#callers.close();
      await pause(REST_MS);
    }
    usage?.stop();
    const isDisturbed = (entry: string, from: number, to: number): boolean =>
      this.#isDisturbed(entry, from, to);
    const broken = [
      ...findActionViolations({
        answers,
        ledger: this.#ledger,
        isDisturbed,
      }),
      ...this.#plan.kind === "changes"
        ? findLateChanges({
          answers,
          ledger: this.#ledger,
          closures: this.#closures,
          documents: this.#documents,
          isDisturbed,
          delayWithin: (from, to) => this.#delays.within(from, to),
        })
        : [],
      ...findOldSettings(directories.answers, {
        applied: this.#settings.applied,
        isDisturbed,
      }),
      ...this.#plan.kind === "keys"
        ? findKeyViolations({
          answers,
          ledger: this.#ledger,
          removedAt: this.#documents.at(-1)!.at,
          starts: this.#plan.entries.length + this.#restarts,
        })
        : [],
      ...findOverused(usage?.samples ?? []),
      ...this.#plan.kind === "long"
        ? findKeptResources(usage?.samples ?? [])
        : [],
      ...this.#plan.kind === "bytes"
        ? [
          ...findOddViolations(oddAnswers, { answers, ledger: this.#ledger }),
          ...findUnservedBeside(answers, {
            asked: directories.asked,
            answered: directories.answers.length,
            delayWithin: (from, to) => this.#delays.within(from, to),
          }),
        ]
        : [],
      ...findDeadNamed({
        answers: directories.answers,
        entries: this.#fleet.entries,
        absences: this.#absences,
        isDisturbed,
      }),
      ...this.#allKilled === undefined
        ? []
        : findLackOfRecovery(answers, this.#allKilled),
      ...findPlaceViolations({
        ...this.#plan,
        answers,
        ledger: this.#ledger,
        bodies: this.#fleet.bodyWatch.bodies,
      }),
      ...this.#findEndedEntries(),
    ];
    return {
      plan: this.#plan,
      broken,
      answers,
      runs: this.#ledger.runs.length,
      bodies: this.#fleet.bodyWatch.bodies.length,
      directoryAnswers: directories.answers.length,
      folder: broken.length > 0 ? this.#writeFiles(broken, answers) : undefined,
    };
  }

  async close(): Promise<void> {
    this.#delays.stop();
    this.#callers.close();
    await this.#fleet.close();
  }

  /** Draws the run by the call and how often it was run, so that it does not depend on the order of arrival. */
  #nextRun(call: string): RunPlan {
    const count = this.#runCounts.get(call) ?? 0;
    this.#runCounts.set(call, count + 1);
    const { kind, seed } = this.#plan;
    const run = drawRunPlan(
      new Draw(seed, hash32(`${call} ${count}`)),
      kind === "refusals" ? "refusals" : "mixed",
    );
    return kind === "bytes" ? { ...run, ...SOUND_RUN } : run;
  }

  async #playFault(fault: Fault): Promise<void> {
    await pause(fault.atMs);
    const from = performance.now();
    const disturbed = this.#disturbedEntries(fault);
    const spans = disturbed.map((index) => ({
      entry: `entry-${index + 1}`,
      from,
      to: Infinity,
    }));
    this.#disturbances.push(...spans);
    await this.#applyFault(fault);
    spans.forEach((span) => span.to = performance.now() + SETTLE_MS);
  }

  #disturbedEntries(fault: Fault): readonly number[] {
    switch (fault.kind) {
      case "pause":
      case "kill":
      case "stop":
      case "absence":
        return [fault.entry];
      case "allKilled":
        return this.#plan.entries.map((_, index) => index);
      case "cut":
      case "reset":
      case "delay":
        return [...fault.links.entries, ...fault.links.peers];
      default:
        return [];
    }
  }

  async #applyFault(fault: Fault): Promise<void> {
    const fleet = this.#fleet;
    switch (fault.kind) {
      case "pause":
        fleet.entries[fault.entry]!.signal("SIGSTOP");
        await pause(fault.forMs);
        fleet.entries[fault.entry]!.signal("SIGCONT");
        return;
      case "kill":
      case "stop":
        return await this.#restartEntry(fault.entry, fault.kind);
      case "absence":
        return await this.#killEntry(fault.entry, fault.forMs);
      case "allKilled":
        return await this.#killAll(fault.forMs);
      case "hup":
        fleet.entries[fault.entry]!.signal("SIGHUP");
        return;
      case "cut": {
        const heal = fleet.cut(fault.links, fault.directions);
        await pause(fault.forMs);
        return heal();
      }
      case "reset":
        return fleet.reset(fault.links);
      case "delay": {
        const undo = fleet.delay(fault.links, fault.delayMs);
        await pause(fault.forMs);
        return undo();
      }
      case "endpointEnds":
        return await this.#endEndpoint(fault);
      case "endpointHangs": {
        const endpoint = fleet.endpoints[fault.endpoint]!;
        endpoint.isHung = true;
        await pause(fault.forMs);
        endpoint.isHung = false;
        return;
      }
      case "endpointLeaves":
        fleet.publishEndpoint(fault.endpoint, { state: "draining" });
        await pause(DRAIN_MS);
        return fleet.publishEndpoint(fault.endpoint);
      case "store":
        fleet.store.fault = fault.fault;
        await pause(fault.forMs);
        fleet.store.fault = "none";
        return;
      case "compact":
        return fleet.store.compact();
      case "document":
        fleet.publishDocument(fault);
        this.#documents.push({ ...fault, at: performance.now() });
        return;
      case "drain":
        fleet.publishEndpoint(fault.endpoint, { state: "draining" });
        await this.#close("drain", { endpoints: [fault.endpoint], fault });
        return fleet.publishEndpoint(fault.endpoint);
      case "settings":
        // An entry that starts by faulty settings ends at once.
        return this.#restarting.has(fault.entry)
          ? undefined
          : await this.#settings.play(fault, fault.forMs);
      case "evacuation": {
        const takeBack = fleet.evacuate(fault.zone);
        const endpoints = this.#plan.endpoints.flatMap(({ region }, index) =>
          fault.zone === `${region}-1` ? [index] : []
        );
        await this.#close("evacuation", { endpoints, fault });
        return takeBack();
      }
    }
  }

  /** Has all entries check keys strictly, those that start again, too. */
  async #enforceKeys(): Promise<void> {
    for (const entry of this.#fleet.entries) {
      entry.changeSettings((text) => `${text}${STRICT_KEYS}`);
      entry.signal("SIGHUP");
    }
    await pause(RELOAD_MS);
  }

  /** Waits while endpoints may receive nothing. */
  async #close(
    kind: Closure["kind"],
    { endpoints, fault }: { endpoints: readonly number[]; fault: Fault },
  ): Promise<void> {
    const from = performance.now();
    const closure: Closure = { kind, endpoints, from, to: Infinity };
    this.#closures.push(closure);
    await pause(fault.forMs);
    closure.to = performance.now();
  }

  /** Kills an entry and starts it again after a time. */
  async #killEntry(index: number, forMs: number): Promise<void> {
    if (this.#restarting.has(index)) {
      return;
    }
    this.#restarting.add(index);
    const entry = this.#fleet.entries[index]!;
    entry.signal("SIGKILL");
    await entry.exitStatus();
    const absence: Absence = {
      entry: index,
      from: performance.now(),
      to: Infinity,
    };
    this.#absences.push(absence);
    await pause(forMs);
    await entry.restart();
    absence.to = performance.now();
    this.#fleet.tellEntry(index);
    this.#restarting.delete(index);
  }

  async #killAll(forMs: number): Promise<void> {
    const killedAt = performance.now();
    const { entries } = this.#plan;
    await Promise.all(
      entries.map((_, index) =>
        this.#killEntry(index, forMs * (1 + index) / entries.length)
      ),
    );
    this.#allKilled = { killedAt, startedAt: performance.now() };
  }

  async #restartEntry(index: number, kind: "kill" | "stop"): Promise<void> {
    if (this.#restarting.has(index)) {
      return;
    }
    this.#restarting.add(index);
    this.#restarts++;
    const entry = this.#fleet.entries[index]!;
    if (kind === "stop") {
      entry.signal("SIGTERM");
      await entry.exitStatus();
    }
    await entry.restart();
    this.#fleet.tellEntry(index);
    this.#restarting.delete(index);
  }

  async #endEndpoint(
    fault: Extract<Fault, { kind: "endpointEnds" }>,
  ): Promise<void> {
    const fleet = this.#fleet;
    const endpoint = fleet.endpoints[fault.endpoint]!;
    const { id } = endpoint;
    if (!endpoint.isListening) {
      return;
    }
    await endpoint.end();
    if (fault.withdrawn) {
      fleet.withdrawEndpoint(id);
    }
    await pause(fault.forMs);
    this.#endpointStarts++;
    endpoint.id = `i-${fault.endpoint + 1}-${this.#endpointStarts}`;
    if (fault.otherService) {
      endpoint.service = endpoint.service === "core" ? "model" : "core";
    }
    await endpoint.listen();
    fleet.withdrawEndpoint(id);
    fleet.publishEndpoint(fault.endpoint);
  }

  #isDisturbed(entry: string, from: number, to: number): boolean {
    return this.#disturbances.some((span) =>
      span.entry === entry && span.from <= to && span.to >= from
    );
  }

  /** Finds entries that ended by themselves. */
  #findEndedEntries(): Violation[] {
    return this.#fleet.entries.flatMap((entry, index) =>
      entry.running
        ? []
        : [{ call: `entry-${index + 1}`, what: "ended by itself" }]
    );
  }

  #writeFiles(
    broken: readonly Violation[],
    answers: readonly ObservedAnswer[],
  ): string {
    const folder = mkdtempSync(join(tmpdir(), "soak-actions-"));
    const write = (name: string, value: unknown): void =>
      writeFileSync(join(folder, name), JSON.stringify(value, undefined, 1));
    write("plan.json", this.#plan);
    write("broken.json", broken);
    write("answers.json", answers);
    write("runs.json", this.#ledger.runs);
    write("disturbances.json", this.#disturbances);
    write("closures.json", this.#closures);
    write("documents.json", this.#documents);
    write("settings.json", this.#settings.applied);
    for (const [index, entry] of this.#fleet.entries.entries()) {
      write(`entry-${index + 1}.json`, entry.lines());
    }
    return folder;
  }
}
