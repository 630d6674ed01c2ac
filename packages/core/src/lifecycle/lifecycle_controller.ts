/**
 * Startup, pauses and shutdown of an entry.
 *
 * @module
 */
import type {
  Blackboard,
  LifecycleView,
  Writable,
} from "../blackboard/index.ts";
import { revisionFields } from "../configuration/index.ts";
import type { Instant } from "../ids/index.ts";
import type { Emit } from "../messages/index.ts";

/** The event loop ticks far more often; a larger gap means that the process or the VM was paused. */
export const PAUSE_GAP_MS = 2_000;

/** Creates the `lifecycle` section of a starting entry. */
export function createLifecycleSection(now: Instant): Writable<LifecycleView> {
  return {
    startedAt: now,
    lastLoopAt: now,
    phase: "starting",
    resumedAt: undefined,
    pauses: 0,
  };
}

/** Maintains the `lifecycle` section. */
export class LifecycleController {
  readonly #board: Blackboard;
  readonly #section: Writable<LifecycleView>;
  readonly #emit: Emit;

  constructor(board: Blackboard, section: Writable<LifecycleView>, emit: Emit) {
    this.#board = board;
    this.#section = section;
    this.#emit = emit;
  }

  /**
   * Records that the event loop runs, and detects pauses of the process.
   *
   * A process that was paused resumes with outdated state and would act on it: run a request whose caller was
   * answered long ago, or send an engine an order that has been replaced since. The symptom is orders and
   * answers that come minutes late. Every event passes through here first, so that a pause is detected
   * before any decision is made after it.
   */
  recordTurn(now: Instant): void {
    const gap = now - this.#section.lastLoopAt;
    this.#section.lastLoopAt = now;
    if (gap < PAUSE_GAP_MS) {
      return;
    }
    this.#section.resumedAt = now;
    this.#section.pauses++;
    this.#emit({
      kind: "log",
      part: "stop",
      text: "Woke from a pause.",
      fields: { gapMs: Math.round(gap) },
    });
  }

  /** Becomes ready once a configuration was accepted and the VMs were listed. */
  tick(): void {
    const { configuration, endpoints } = this.#board;
    const complete = configuration.deployment !== undefined &&
      endpoints.listedAt !== undefined;
    if (this.#section.phase === "starting" && complete) {
      this.#section.phase = "ready";
      this.#emit({
        kind: "log",
        part: "stop",
        text: "Entry is ready.",
        fields: revisionFields(configuration.revision),
      });
    }
  }

  /** Begins a planned shutdown. Further calls have no effect. */
  stop(): void {
    if (
      this.#section.phase === "stopping" || this.#section.phase === "stopped"
    ) {
      return;
    }
    this.#section.phase = "stopping";
    this.#emit({
      kind: "log",
      part: "stop",
      text: "Stopping, waiting for requests in flight.",
      fields: {},
    });
  }

  /** Completes the shutdown and exits. */
  finish(): void {
    this.#section.phase = "stopped";
    this.#emit({ kind: "log", part: "stop", text: "Stopped.", fields: {} });
    this.#emit({ kind: "exit" });
  }
}
