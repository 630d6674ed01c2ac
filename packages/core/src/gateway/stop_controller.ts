/**
 * Graceful shutdown that interrupts no request.
 *
 * @module
 */
import {
  after,
  type Instant,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";
import type { StallAdjustedClockView } from "../listening/index.ts";
import type { CallController } from "./call_controller.ts";
import type { GatewayEmit } from "./messages.ts";

/**
 * New requests are accepted for this long, because callers keep using a cached list of entries for some
 * seconds. A request accepted later might not be answered before the process has to exit.
 */
const ACCEPT_NEW_MS = 2_600;
/** Minimum time between the start of the shutdown and its end. */
const MIN_LINGER_MS = 3_500;
/** After this long without a new request all callers are taken to have moved on. */
const QUIET_MS = 1_200;
/**
 * Requests in flight are aborted this long before the process would be killed, so that the last bytes can be
 * sent.
 */
const ABORT_MARGIN_MS = 600;
/** The process exits this long before it would be killed. */
const EXIT_MARGIN_MS = 200;

/** Exits the process once callers have moved on and requests in flight are answered. */
export class StopController {
  readonly #emit: GatewayEmit;
  readonly #calls: CallController;
  readonly #clock: StallAdjustedClockView;
  #stopTime: Milliseconds;
  #startedAt: Instant | undefined;
  #refusesNew = false;
  #ended = false;

  constructor(
    { emit, calls, clock, stopTime }: {
      emit: GatewayEmit;
      calls: CallController;
      clock: StallAdjustedClockView;
      stopTime: Milliseconds;
    },
  ) {
    this.#emit = emit;
    this.#calls = calls;
    this.#clock = clock;
    this.#stopTime = stopTime;
  }

  /** Updates the stop time when the settings are reloaded. */
  setStopTime(stopTime: Milliseconds): void {
    this.#stopTime = stopTime;
  }

  /** Starts the shutdown. Further calls have no effect. */
  begin(now: Instant): void {
    if (this.#startedAt !== undefined) {
      return;
    }
    this.#startedAt = now;
    this.#emit({
      kind: "log",
      part: "stop",
      text: "Stopping, directing callers to other entries.",
      fields: { requests: this.#calls.active },
    });
  }

  tick(now: Instant): void {
    if (this.#startedAt === undefined || this.#ended) {
      return;
    }
    if (!this.#refusesNew && now >= after(this.#startedAt, ACCEPT_NEW_MS)) {
      this.#refusesNew = true;
      this.#calls.refuseNew();
      this.#emit({ kind: "stopListening" });
    }
    const overdue =
      now >= after(this.#startedAt, this.#stopTime - ABORT_MARGIN_MS);
    const lingered = now >= after(this.#startedAt, MIN_LINGER_MS);
    const lastArrival = this.#calls.lastArrivalAt ?? this.#startedAt;
    // Requests that arrived while the process was paused have not been read yet.
    const quiet = this.#clock.since(lastArrival, now) >= QUIET_MS;
    if (overdue || (lingered && quiet && this.#calls.active === 0)) {
      this.#ended = true;
      const active = this.#calls.active;
      this.#calls.endAll(now);
      this.#emit({
        kind: "log",
        part: "stop",
        text: "Stopped.",
        fields: { requests: active },
      });
      const exitAt = after(this.#startedAt, this.#stopTime - EXIT_MARGIN_MS);
      this.#emit({
        kind: "exit",
        within: milliseconds(Math.max(0, exitAt - now)),
      });
    }
  }
}
