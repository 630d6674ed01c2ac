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
import type { Fault } from "./action_faults.ts";
import type { ActionWavePlan } from "./action_plan.ts";
import { drawRunPlan, type RunPlan } from "./behaviours.ts";
import { LinkedFleet } from "./linked_fleet.ts";
import { RunLedger } from "./run_ledger.ts";

/** After a disturbance an entry needs this long to hear of all that it missed. */
const SETTLE_MS = 6_000;
/** Time for late runs, after all callers have their answers. */
const AFTERMATH_MS = 1_500;
const DRAIN_MS = 4_000;

/** The result of a wave. */
export interface ActionWaveResult {
  readonly plan: ActionWavePlan;
  readonly broken: readonly Violation[];
  readonly answers: readonly ObservedAnswer[];
  readonly runs: number;
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

  constructor(plan: ActionWavePlan) {
    this.#plan = plan;
    this.#fleet = new LinkedFleet(plan, {
      ledger: this.#ledger,
      plan: (call) => this.#nextRun(call),
    });
    this.#callers = new ActionCallers((entry) => this.#fleet.callersOf(entry));
  }

  async play(): Promise<ActionWaveResult> {
    const { actions, faults } = this.#plan;
    await this.#fleet.start();
    const faultsPlayed = Promise.all(
      faults.map((fault) => this.#playFault(fault)),
    );
    const observed = await Promise.all(actions.map(async (action) => {
      await pause(action.startMs);
      return this.#callers.play(action);
    }));
    const answers = observed.flat();
    await faultsPlayed;
    await pause(AFTERMATH_MS);
    const broken = [
      ...findActionViolations({
        answers,
        ledger: this.#ledger,
        isDisturbed: (entry, from, to) => this.#isDisturbed(entry, from, to),
      }),
      ...this.#findEndedEntries(),
    ];
    return {
      plan: this.#plan,
      broken,
      answers,
      runs: this.#ledger.runs.length,
      folder: broken.length > 0 ? this.#writeFiles(broken, answers) : undefined,
    };
  }

  async close(): Promise<void> {
    this.#callers.close();
    await this.#fleet.close();
  }

  /** Draws the run by the call and how often it was run, so that it does not depend on the order of arrival. */
  #nextRun(call: string): RunPlan {
    const count = this.#runCounts.get(call) ?? 0;
    this.#runCounts.set(call, count + 1);
    const { seed, endpointFaults } = this.#plan;
    return drawRunPlan(
      new Draw(seed, hash32(`${call} ${count}`)),
      endpointFaults,
    );
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
        return [fault.entry];
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
        return fleet.publishDocument(fault.timeoutMs);
    }
  }

  async #restartEntry(index: number, kind: "kill" | "stop"): Promise<void> {
    if (this.#restarting.has(index)) {
      return;
    }
    this.#restarting.add(index);
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
    for (const [index, entry] of this.#fleet.entries.entries()) {
      write(`entry-${index + 1}.json`, entry.lines());
    }
    return folder;
  }
}
