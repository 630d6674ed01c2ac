/**
 * Restores the store from a copy during a wave and checks which requests engines receive afterwards.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import type { ByteFleet, RawEngine } from "@sassafrasstep/playground/bytes";
import type { Draw } from "./draw.ts";

/** An outage of the store that ends with a restore from a copy, and changes around it. Engines are indexes. */
export interface StoreRestore {
  readonly copyAtMs: number;
  /** Number of writes after the copy, which the restore loses. The same number follows the restore. */
  readonly lost: number;
  /** Engine whose record is removed after the copy, and which the restore brings back. */
  readonly gone: number;
  readonly awayAtMs: number;
  readonly fault: "silent" | "busy" | "reset";
  readonly forMs: number;
  /** Time between the restore and the next changes. */
  readonly calmMs: number;
  /** Engine that announces after the restore that it leaves. */
  readonly leaving: number;
  /** Engine whose record is removed after the restore. */
  readonly removed: number;
}

/** An acknowledged change must be in force within this time. */
const MAX_PROPAGATION_MS = 4_000;
/** An entry that is paused or restarts may send one more request before it has read the change. */
const MAX_LATE_REQUESTS = 4;
/** Time until the platform removes the record of an engine that no longer writes to the store. */
const RECORD_EXPIRY_MS = 3_000;

/** Plans an outage after which every region still has an engine. */
export function planRestore(
  draw: Draw,
  regions: readonly string[],
): StoreRestore {
  const firstOfFirstRegion = regions.indexOf(regions[0]!);
  const lastOfLastRegion = regions.lastIndexOf(regions.at(-1)!);
  const copyAtMs = draw.integer(300, 1_000);
  return {
    copyAtMs,
    lost: draw.integer(1, 8),
    gone: firstOfFirstRegion + 1,
    awayAtMs: copyAtMs + draw.integer(800, 2_500),
    fault: draw.pick(["silent", "busy", "reset"]),
    forMs: draw.pick([0, 50, 300, 1_000, 2_000]),
    calmMs: draw.integer(0, 2_000),
    leaving: lastOfLastRegion,
    removed: lastOfLastRegion - 1,
  };
}

/** What was observed of the restore in a wave. */
export interface ObservedRestore {
  readonly plan: StoreRestore;
  /** When the store acknowledged the changes after the restore. */
  readonly changedAt: number;
}

/** Plays the outage, the restore and the changes at the planned times. */
export async function playRestore(
  { store, engines, publish, withdraw }: {
    store: ByteFleet["store"];
    engines: readonly RawEngine[];
    publish: (engine: number, fields: object) => void;
    withdraw: (engine: number) => void;
  },
  plan: StoreRestore,
): Promise<ObservedRestore> {
  const {
    lost: lostWrites,
    gone: removedAfterCopy,
    leaving,
    removed: removedAfterRestore,
  } = plan;
  const writeHeartbeats = (firstSequence: number): void => {
    for (let index = 0; index < lostWrites; index++) {
      publish(engines.length - 3, { sequence: firstSequence + index });
    }
  };
  await pause(plan.copyAtMs);
  const copy = store.copy();
  writeHeartbeats(2);
  withdraw(removedAfterCopy);
  await pause(plan.awayAtMs - plan.copyAtMs);
  store.fault = plan.fault;
  await pause(plan.forMs);
  store.restore(copy);
  store.fault = "none";
  await pause(plan.calmMs);
  publish(leaving, { sequence: 2, state: "draining" });
  withdraw(removedAfterRestore);
  const changedAt = performance.now();
  writeHeartbeats(2 + lostWrites);
  await pause(RECORD_EXPIRY_MS);
  withdraw(removedAfterCopy);
  return { plan, changedAt };
}

/** Finds engines that received too many requests after their acknowledged departure or removal took effect. */
export function findRestoreViolations(
  {
    plan: { leaving, removed: removedAfterRestore, gone: removedAfterCopy },
    changedAt,
  }: ObservedRestore,
  engines: readonly RawEngine[],
): readonly { engine: string; what: string }[] {
  return [leaving, removedAfterRestore, removedAfterCopy].flatMap((index) => {
    const { id, arrivals } = engines[index]!;
    const lateCount = arrivals.filter((at) =>
      at >= changedAt + MAX_PROPAGATION_MS
    ).length;
    const what =
      `${lateCount} requests later than ${MAX_PROPAGATION_MS} ms after it left or was gone`;
    return lateCount > MAX_LATE_REQUESTS ? [{ engine: id, what }] : [];
  });
}
