/**
 * A store that comes back from a copy while streams are under way, and what engines may get after it.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { ByteFleet, RawEngine } from "@sassafrasstep/playground/bytes";
import type { Draw } from "./draw.ts";

/** One absence of the store, and the changes around it. Engines are given by their index. */
export interface StoreRestore {
  readonly copyAtMs: number;
  /** Records that are written after the copy, and lost. */
  readonly lost: number;
  /** Its record is removed after the copy, which has it again. */
  readonly gone: number;
  readonly awayAtMs: number;
  readonly fault: "silent" | "busy" | "reset";
  readonly forMs: number;
  /** Between the return and the next changes. */
  readonly calmMs: number;
  /** Says after the return that it leaves. */
  readonly leaving: number;
  /** Its record is removed after the return. */
  readonly removed: number;
}

/** Within this an acknowledged change is in force. */
const BOUND_MS = 4_000;
/** An entry that is paused or starts anew may send once more before it has read. */
const MOST_LATE = 4;
/** Until the platform removes the record of an engine that no longer writes. */
const SILENT_RECORD_MS = 3_000;

/** An absence, after which some engine of each region is left. */
export function planRestore(
  draw: Draw,
  regions: readonly string[],
): StoreRestore {
  const near = regions.indexOf(regions[0]!);
  const far = regions.lastIndexOf(regions.at(-1)!);
  const copyAtMs = draw.between(300, 1_000);
  return {
    copyAtMs,
    lost: draw.between(1, 8),
    gone: near + 1,
    awayAtMs: copyAtMs + draw.between(800, 2_500),
    fault: draw.pick(["silent", "busy", "reset"]),
    forMs: draw.pick([0, 50, 300, 1_000, 2_000]),
    calmMs: draw.between(0, 2_000),
    leaving: far,
    removed: far - 1,
  };
}

/** What a wave has seen of its restore. */
export interface SeenRestore {
  readonly plan: StoreRestore;
  /** When the changes after the return were acknowledged. */
  readonly changedAt: number;
}

/** Plays it when the time comes. */
export async function playRestore(
  { store, engines, publish, withdraw }: {
    store: ByteFleet["store"];
    engines: readonly RawEngine[];
    publish: (engine: number, fields: object) => void;
    withdraw: (engine: number) => void;
  },
  plan: StoreRestore,
): Promise<SeenRestore> {
  const { lost, gone, leaving, removed } = plan;
  const beats = (from: number): void => {
    for (let beat = 0; beat < lost; beat++) {
      publish(engines.length - 3, { sequence: from + beat });
    }
  };
  await pause(plan.copyAtMs);
  const copy = store.copy();
  beats(2);
  withdraw(gone);
  await pause(plan.awayAtMs - plan.copyAtMs);
  store.fault = plan.fault;
  await pause(plan.forMs);
  store.restore(copy);
  store.fault = "none";
  await pause(plan.calmMs);
  publish(leaving, { sequence: 2, state: "draining" });
  withdraw(removed);
  const changedAt = performance.now();
  beats(2 + lost);
  await pause(SILENT_RECORD_MS);
  withdraw(gone);
  return { plan, changedAt };
}

/** What engines got against what the store had acknowledged. */
export function brokenRestore(
  { plan: { leaving, removed, gone }, changedAt }: SeenRestore,
  engines: readonly RawEngine[],
): readonly { engine: string; what: string }[] {
  return [leaving, removed, gone].flatMap((index) => {
    const { id, arrivals } = engines[index]!;
    const late = arrivals.filter((at) => at >= changedAt + BOUND_MS).length;
    const what =
      `${late} requests later than ${BOUND_MS} ms after it left or was gone`;
    return late > MOST_LATE ? [{ engine: id, what }] : [];
  });
}
