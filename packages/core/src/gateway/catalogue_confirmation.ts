/**
 * Establishes as of when the local catalogue was the platform's newest.
 *
 * @module
 */
import { type Instant, milliseconds } from "../ids/index.ts";
import type { CataloguePosition } from "../routes/index.ts";
import type { GatewayEmit, NewestPosition } from "./messages.ts";

/** Minimum time between two questions, so that many requests at once don't load the platform. */
const MIN_INTERVAL_MS = 200;
const TIMEOUT_MS = 700;

/** Asks the platform for its newest position, beside the reads of changes, which may wait for one. */
export class CatalogueConfirmation {
  readonly #emit: GatewayEmit;
  /** When the question under way was sent. */
  #askedAt: Instant | undefined;
  #lastAskedAt: Instant | undefined;
  /** A position that the local catalogue has not reached, and when it was asked for. */
  #awaited:
    | { readonly newest: NewestPosition; readonly at: Instant }
    | undefined;
  #confirmedAt: Instant | undefined;

  constructor(emit: GatewayEmit) {
    this.#emit = emit;
  }

  /** The latest time at which the local catalogue is known to have been the newest. */
  get confirmedAt(): Instant | undefined {
    return this.#confirmedAt;
  }

  /** Asks the platform unless a question is under way or was sent a moment ago. */
  request(now: Instant): void {
    const isSoon = this.#lastAskedAt !== undefined &&
      now - this.#lastAskedAt < MIN_INTERVAL_MS;
    if (this.#askedAt !== undefined || isSoon) {
      return;
    }
    this.#askedAt = now;
    this.#lastAskedAt = now;
    this.#emit({ kind: "askNewest", timeout: milliseconds(TIMEOUT_MS) });
  }

  /** Handles the answer. Returns whether the local catalogue is behind it. */
  receive(
    newest: NewestPosition | undefined,
    position: CataloguePosition,
  ): boolean {
    const at = this.#askedAt;
    this.#askedAt = undefined;
    if (newest === undefined || at === undefined) {
      return false;
    }
    this.#awaited = { newest, at };
    this.notePosition(position);
    return this.#awaited !== undefined;
  }

  /** Records the position of the local catalogue after an answer of the platform was applied. */
  notePosition({ epoch, revision }: CataloguePosition): void {
    if (this.#awaited === undefined) {
      return;
    }
    const { newest, at } = this.#awaited;
    if ((newest.epoch ?? epoch) === epoch && revision >= newest.revision) {
      this.#confirmedAt = at;
      this.#awaited = undefined;
    }
  }
}
