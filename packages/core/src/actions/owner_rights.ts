/**
 * Incarnations whose keys this entry has the right to run, and their epochs.
 *
 * @module
 */
import {
  after,
  type Incarnation,
  type Instant,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";
import type { KeyHandOver } from "../messages/index.ts";

/** Number of epochs for which used keys are kept, including the current one. Keys of older epochs never run. */
export const KEPT_EPOCHS = 3;

/** Position of an owner within its epochs, as durations, so that it can be sent to another process. */
export type OwnerAge = Pick<KeyHandOver, "owner" | "epoch" | "epochAge">;

/** Rights of one entry to run keys. */
export class OwnerRights {
  readonly #epochLength: Milliseconds;
  /** Start of epoch 0 of each owner. */
  readonly #epochZeroStarts = new Map<Incarnation, Instant>();

  constructor(epochLength: Milliseconds) {
    this.#epochLength = epochLength;
  }

  /** Grants a new right, whose first epoch begins now. */
  grant(owner: Incarnation, now: Instant): void {
    this.#epochZeroStarts.set(owner, now);
  }

  /** Takes over a right that another entry gave up, and continues its epochs. */
  takeOver({ owner, epoch, epochAge }: OwnerAge, now: Instant): void {
    this.#epochZeroStarts.set(
      owner,
      after(now, -(epoch * this.#epochLength + epochAge)),
    );
  }

  has(owner: Incarnation): boolean {
    return this.#epochZeroStarts.has(owner);
  }

  owners(): Incarnation[] {
    return [...this.#epochZeroStarts.keys()];
  }

  /** Returns the current epoch of an owner, `undefined` if this entry has no right to its keys. */
  epochOf(owner: Incarnation, now: Instant): number | undefined {
    const epochZeroStart = this.#epochZeroStarts.get(owner);
    return epochZeroStart === undefined
      ? undefined
      : Math.floor(Math.max(0, now - epochZeroStart) / this.#epochLength);
  }

  /** Whether used keys of an epoch are still kept, so that its keys may run. */
  isCurrent(owner: Incarnation, epoch: number, now: Instant): boolean {
    const current = this.epochOf(owner, now);
    return current !== undefined && epoch > current - KEPT_EPOCHS;
  }

  /** Gives up all rights, and returns the position of each owner within its epochs. */
  giveUpAll(now: Instant): OwnerAge[] {
    const ages = [...this.#epochZeroStarts].map(
      ([owner, epochZeroStart]): OwnerAge => {
        const age = Math.max(0, now - epochZeroStart);
        return {
          owner,
          epoch: Math.floor(age / this.#epochLength),
          epochAge: milliseconds(age % this.#epochLength),
        };
      },
    );
    this.#epochZeroStarts.clear();
    return ages;
  }
}
