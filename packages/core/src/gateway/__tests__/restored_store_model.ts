/**
 * A model of entries that read one store and copy from each other, while the store falls silent and is
 * restored from a backup.
 *
 * @module
 */
import {
  type CatalogueEpoch,
  type EndpointId,
  instant,
  type Milliseconds,
  type Revision,
  SeededRandomness,
} from "../../ids/index.ts";
import {
  type CatalogueChange,
  type CataloguePosition,
  type CatalogueSnapshot,
  type EndpointRecord,
  isLaterPosition,
  NO_POSITION,
} from "../../routes/index.ts";
import { CatalogueController } from "../catalogue_controller.ts";
import type { GatewayEffect } from "../messages.ts";
import { SNAPSHOT } from "./resume_fixture.ts";

const TICK_MS = 25;
/** Stands for the store in place of an entry's index. */
const STORE_INDEX = -1;

interface Change {
  readonly revision: number;
  readonly change: CatalogueChange;
}

/** An event that is due at a time. */
interface Due {
  readonly at: number;
  /** The entry that handles it, which may be paused, or `STORE_INDEX`. */
  readonly index: number;
  readonly run: () => void;
}

/** A read that waits for a change. */
interface PendingRead {
  readonly answer: () => void;
  readonly abort: () => void;
}

/** What an entry's calls take. */
export interface EntryPlan {
  /** When the entry starts. */
  readonly startAt: number;
  /** How old the positions are that the entry knows of its peers. */
  readonly gossipMs: number;
  readonly copyMs: number;
  readonly readMs: number;
}

/** Runs entries and their store in virtual time. */
export class RestoredStoreModel {
  now = 0;
  silent = false;
  readonly entries: CatalogueController[] = [];
  #epoch = 1;
  #revision = 1;
  #compacted = 1;
  #history: Change[] = [];
  #records = new Map<EndpointId, EndpointRecord>();
  readonly #plans: readonly EntryPlan[];
  readonly #paused = new Set<number>();
  readonly #dues = new Set<Due>();
  readonly #pending = new Set<PendingRead>();
  /** Positions of the entries at each tick. */
  readonly #positions: CataloguePosition[][] = [];

  constructor(plans: readonly EntryPlan[], records: readonly EndpointRecord[]) {
    this.#plans = plans;
    records.forEach((record) => this.#records.set(record.id, record));
    plans.forEach((plan, index) =>
      this.entries.push(this.#create(plan, index))
    );
  }

  /** Ids of the endpoints whose records the store has. */
  get published(): EndpointId[] {
    return [...this.#records.keys()].sort();
  }

  /** Ids of the endpoints that an entry uses. */
  used(index: number): EndpointId[] {
    return [...this.entries[index]!.endpoints.keys()].sort();
  }

  get epoch(): number {
    return this.#epoch;
  }

  put(record: EndpointRecord): void {
    this.#records.set(record.id, record);
    this.#write({ kind: "endpoint", record });
  }

  remove(id: EndpointId): void {
    this.#records.delete(id);
    this.#write({ kind: "endpointRemoved", id });
  }

  pause(index: number): void {
    this.#paused.add(index);
  }

  resume(index: number): void {
    this.#paused.delete(index);
    this.entries[index]!.handleWakeUp(instant(this.now));
  }

  backup(): () => void {
    const records = new Map(this.#records);
    const revision = this.#revision;
    return () => {
      this.#records = new Map(records);
      this.#revision = revision;
      this.#compacted = revision;
      this.#history = [];
      this.#epoch++;
      const pending = [...this.#pending];
      this.#pending.clear();
      pending.forEach(({ abort }) => abort());
    };
  }

  /** Runs until a time, and calls `check` after each tick. */
  runUntil(end: number, check: () => void = () => {}): void {
    while (this.now < end) {
      this.now += TICK_MS;
      const due = [...this.#dues].filter(({ at, index }) =>
        at <= this.now && !this.#paused.has(index)
      )
        .sort((left, right) => left.at - right.at);
      due.forEach((item) => {
        this.#dues.delete(item);
        item.run();
      });
      this.entries.forEach((entry, index) => {
        if (
          this.now >= this.#plans[index]!.startAt && !this.#paused.has(index)
        ) {
          entry.tick(instant(this.now));
        }
      });
      this.#positions.push(this.entries.map(({ position }) => position));
      check();
    }
  }

  #create(plan: EntryPlan, index: number): CatalogueController {
    const entry: CatalogueController = new CatalogueController({
      emit: (effect: GatewayEffect) => this.#carryOut(effect, index),
      newestHolder: () => this.#newestHolder(plan, index),
      newestDocument: () => undefined,
      random: new SeededRandomness(index + 1),
      isStandby: () => false,
      freshnessRole: () => "no",
      now: instant(0),
    });
    return entry;
  }

  #newestHolder(
    { gossipMs }: EntryPlan,
    self: number,
  ): { address: string; position: CataloguePosition } | undefined {
    const known = this.#positions.at(-1 - Math.ceil(gossipMs / TICK_MS)) ?? [];
    let newest = { address: "", position: NO_POSITION };
    known.forEach((position, index) => {
      if (index !== self && isLaterPosition(position, newest.position)) {
        newest = { address: String(index), position };
      }
    });
    return newest.address === "" ? undefined : newest;
  }

  #carryOut(effect: GatewayEffect, index: number): void {
    const entry = this.entries[index]!;
    const { copyMs } = this.#plans[index]!;
    if (effect.kind === "copyCatalogue") {
      const peer = this.entries[Number(effect.address)]!;
      this.#in(copyMs, Number(effect.address), () => {
        const snapshot = peer.snapshot();
        this.#in(
          copyMs,
          index,
          () => entry.applyPeerCopy(snapshot, instant(this.now)),
        );
      });
    } else if (effect.kind === "readCatalogue") {
      this.#read(effect, index);
    }
  }

  #read(
    { after, wait, timeout }: {
      after: Revision | undefined;
      wait: Milliseconds;
      timeout: Milliseconds;
    },
    index: number,
  ): void {
    const entry = this.entries[index]!;
    const { readMs } = this.#plans[index]!;
    if (this.silent) {
      this.#in(
        timeout,
        index,
        () => entry.handleFailure("Timed out", instant(this.now)),
      );
      return;
    }
    const answer = (): void => {
      const apply = this.#answer(after, entry);
      this.#in(readMs, index, apply);
    };
    if (wait === 0 || this.#hasAnswer(after)) {
      return answer();
    }
    const pending: PendingRead = {
      answer,
      abort: () => {
        this.#dues.delete(due);
        this.#in(
          0,
          index,
          () => entry.handleFailure("Reset", instant(this.now)),
        );
      },
    };
    const due = this.#in(wait, STORE_INDEX, () => {
      if (this.#pending.delete(pending)) {
        answer();
      }
    });
    this.#pending.add(pending);
  }

  #hasAnswer(after: Revision | undefined): boolean {
    return after === undefined || after !== this.#revision;
  }

  /** The answer as of now, to be applied when it arrives. */
  #answer(after: Revision | undefined, entry: CatalogueController): () => void {
    const epoch = this.#epoch as CatalogueEpoch;
    const revision = this.#revision as Revision;
    if (after === undefined) {
      const snapshot: CatalogueSnapshot = {
        ...SNAPSHOT,
        epoch,
        revision,
        endpoints: [...this.#records.values()],
      };
      return () => entry.applySnapshot(snapshot, instant(this.now));
    }
    if (after < this.#compacted || after > revision) {
      return () => entry.handleCompaction(epoch, instant(this.now));
    }
    const changes = this.#history.filter((item) => item.revision > after)
      .map(({ change }) => change);
    return () =>
      entry.applyChanges({ epoch, revision, changes }, instant(this.now));
  }

  #write(change: CatalogueChange): void {
    this.#revision++;
    this.#history.push({ revision: this.#revision, change });
    const pending = [...this.#pending];
    this.#pending.clear();
    pending.forEach(({ answer }) => answer());
  }

  #in(time: number, index: number, run: () => void): Due {
    const due = { at: this.now + time, index, run };
    this.#dues.add(due);
    return due;
  }
}
