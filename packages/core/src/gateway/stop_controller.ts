/**
 * A planned stop that cuts off no request.
 *
 * @module
 */
import {
  after,
  type Instant,
  type Milliseconds,
  milliseconds,
} from "../ids/index.ts";
import type { ListenedTimeView } from "../listening/index.ts";
import type { CallController } from "./call_controller.ts";
import type { GatewayEmit } from "./messages.ts";

/**
 * Callers keep an old list of entries for some seconds: the entry serves them that long. What it took
 * later might not be answered before the process has to end, and would be cut off.
 */
const DOORS_OPEN_MS = 2_600;
const LEAST_LINGER_MS = 3_500;
/** Without a new request for so long callers have left. */
const QUIET_MS = 1_200;
/** Ends what is under way this long before it would be killed: the last bytes have to leave. */
const MARGIN_MS = 600;
/** And is gone this long before. */
const LAST_MARGIN_MS = 200;

/** Ends the process once callers have left and requests in flight are answered. */
export class StopController {
  readonly #emit: GatewayEmit;
  readonly #calls: CallController;
  readonly #listened: ListenedTimeView;
  #stopTime: Milliseconds;
  #begunAt: Instant | undefined;
  #doorsClosed = false;
  #ended = false;

  constructor(
    { emit, calls, listened, stopTime }: {
      emit: GatewayEmit;
      calls: CallController;
      listened: ListenedTimeView;
      stopTime: Milliseconds;
    },
  ) {
    this.#emit = emit;
    this.#calls = calls;
    this.#listened = listened;
    this.#stopTime = stopTime;
  }

  /** Takes a new figure. */
  rebound(stopTime: Milliseconds): void {
    this.#stopTime = stopTime;
  }

  /** Begins the stop. A second call changes nothing. */
  begin(now: Instant): void {
    if (this.#begunAt !== undefined) {
      return;
    }
    this.#begunAt = now;
    this.#emit({
      kind: "log",
      part: "stop",
      text: "Stopping, callers are sent elsewhere.",
      fields: { requests: this.#calls.active },
    });
  }

  tick(now: Instant): void {
    if (this.#begunAt === undefined || this.#ended) {
      return;
    }
    if (!this.#doorsClosed && now >= after(this.#begunAt, DOORS_OPEN_MS)) {
      this.#doorsClosed = true;
      this.#calls.refuseNew();
      this.#emit({ kind: "stopListening" });
    }
    const overdue = now >= after(this.#begunAt, this.#stopTime - MARGIN_MS);
    const lingered = now >= after(this.#begunAt, LEAST_LINGER_MS);
    const lastArrival = this.#calls.lastArrivalAt ?? this.#begunAt;
    // Requests that came during a pause are yet to be read.
    const quiet = this.#listened.since(lastArrival, now) >= QUIET_MS;
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
      const gone = after(this.#begunAt, this.#stopTime - LAST_MARGIN_MS);
      this.#emit({
        kind: "exit",
        within: milliseconds(Math.max(0, gone - now)),
      });
    }
  }
}
