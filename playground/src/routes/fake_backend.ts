/**
 * A fake endpoint in virtual time. It runs requests and can be set to fail in various ways.
 *
 * @module
 */
import type {
  AnswerHead,
  CallHead,
  CallTarget,
  EndpointId,
  Incarnation,
  ReportedLoad,
} from "@sassafrasstep/core";
import type { Spot } from "../scenario/network.ts";
import type { SharedMachine } from "./shared_machine.ts";
import type { VirtualGateway } from "./virtual_gateway.ts";
import type { VirtualTime } from "../scenario/virtual_time.ts";

/** How the endpoint handles requests. */
export type BackendMode =
  | "answer"
  /** Runs the request and answers with a failure. */
  | "fail"
  /** Answers that the request was not run. */
  | "reject"
  /** Answers for three in five requests that they were not run, like a queue that is full at times. */
  | "shed"
  /** Runs the request, then resets the connection. */
  | "reset_after"
  /** Resets the connection without running the request. */
  | "reset_before"
  /** Never answers; connections hang. */
  | "dark"
  /** Refuses connections. */
  | "refuse"
  /** Answers as if another endpoint had taken over the address. */
  | "misdirect"
  /** Resets streams after `EVENTS_BEFORE_RESET` events. */
  | "torn";

/** Number of events that a stream in mode `torn` delivers before its connection is reset. */
export const EVENTS_BEFORE_RESET = 3;
const EVENT_INTERVAL_MS = 40;
/** In mode `shed`, this many of a cycle's requests are rejected. */
const SHED_PER_CYCLE = 3;
const SHED_CYCLE = 5;
const STATUS_FAILED = 500;
const MS_PER_SECOND = 1_000;

/** Callbacks through which the endpoint answers a request. */
export interface BackendAnswer {
  head(status: number, notRun: boolean): void;
  event(id: number): void;
  complete(): void;
  lost(detail: string): void;
}

/** A request that an endpoint receives. */
export interface BackendRequest {
  readonly call: string;
  readonly from: VirtualGateway;
  readonly streaming: boolean;
  readonly events: number;
  readonly resumeAfter: number;
  readonly customer: string | undefined;
  readonly prefill: number;
  readonly head: CallHead;
  readonly target: Extract<CallTarget, { kind: "endpoint" }>;
  readonly answer: BackendAnswer;
}

/** Decides which requests crash an endpoint. */
export interface CrashPolicy {
  /** Records that a request has reached an endpoint. */
  recordSend(
    call: string,
    send: { from: VirtualGateway; at: FakeBackend },
  ): void;
  /** Returns when a run of a request crashes its endpoint, `undefined` if it doesn't. */
  crashOf(
    call: string,
    backend: FakeBackend,
  ):
    | { crashAfterMs: number; eventCount: number; answersMeanwhile: boolean }
    | undefined;
  /** Crashes an endpoint because of a request that it runs. */
  crashUnder(call: string, backend: FakeBackend): void;
}

/** One run of a request at an endpoint. */
export interface Run {
  readonly call: string;
  readonly backend: string;
  readonly at: number;
  /** The customer that the gateway named to the endpoint. */
  readonly customer: string | undefined;
}

/** A fake endpoint. */
export class FakeBackend {
  readonly name: string;
  readonly id: EndpointId;
  readonly service: string;
  readonly spot: Spot;
  readonly slots: number;
  readonly work: number;
  /** Software version of its current life. */
  version: string;
  /** Its machine if that is shared with other work; the endpoint then reports its load. */
  readonly machine: SharedMachine | undefined;
  mode: BackendMode = "answer";
  /** Its current life as its record states it, `undefined` if the record states none. */
  life: number | undefined;
  /** Limits that it has stated, in requests per second, each with the time it was set. */
  readonly limits: { at: number; perSecond: number | undefined }[] = [];
  /** Until when it is cold, as its health checks tell. */
  coldUntil = 0;
  /** Whether its answers say that it is leaving. */
  leaving = false;
  /** When each incarnation of an entry first received an answer saying that the endpoint is leaving. */
  readonly leavingToldAt = new Map<Incarnation, number>();
  /** Until when it rejects requests, and the backoff in seconds that it then asks for. */
  overload: { until: number; backoffS: number } | undefined;
  /** Backoffs that it has asked entries for. */
  readonly backoffs: { entry: Incarnation; from: number; to: number }[] = [];
  /** Number of requests whose connection was closed while it had them. */
  cancelledRuns = 0;
  /** Arrival times of requests. */
  readonly arrivals: number[] = [];
  /** For each arrival, the incarnation of the entry that sent the request. */
  readonly senders: Incarnation[] = [];
  protected readonly time: VirtualTime;
  readonly #dependencies: {
    time: VirtualTime;
    runs: Run[];
    crashes?: CrashPolicy;
  };
  readonly #cancelled = new Set<BackendAnswer>();
  readonly #open = new Set<BackendAnswer>();
  #busyUntil = 0;
  /** Number of times that its process has ended or started anew. */
  #starts = 0;

  constructor(
    { name, id, service, spot, slots, work, version = "v1", machine }: {
      name: string;
      id: string;
      service: string;
      spot: Spot;
      slots: number;
      work: number;
      version?: string;
      machine?: SharedMachine | undefined;
    },
    dependencies: { time: VirtualTime; runs: Run[]; crashes?: CrashPolicy },
  ) {
    this.name = name;
    this.id = id as EndpointId;
    this.service = service;
    this.spot = spot;
    this.slots = slots;
    this.work = work;
    this.version = version;
    this.machine = machine;
    this.time = dependencies.time;
    this.#dependencies = dependencies;
  }

  /** The load, limit, departure and backoff that each of its answers states. */
  get answerFields(): Pick<AnswerHead, "load" | "limit" | "leaving" | "rest"> {
    const value = this.limits.at(-1)?.perSecond;
    return {
      load: this.machine === undefined ? undefined : {
        ...this.requestCounts,
        slots: this.slots,
        contention: this.machine.contention(this.time.now),
      },
      rest: this.isOverloaded
        ? { kind: "value", value: this.overload!.backoffS }
        : undefined,
      limit: value === undefined ? undefined : { kind: "value", value },
      leaving: this.leaving,
    };
  }

  /** How long it stays cold. */
  get remainingCold(): number {
    return Math.max(0, this.coldUntil - this.time.now);
  }

  get isOverloaded(): boolean {
    return this.overload !== undefined && this.time.now < this.overload.until;
  }

  /** Requests that it runs and that it has queued. */
  protected get requestCounts(): Pick<ReportedLoad, "running" | "waiting"> {
    const running = Math.min(this.slots, this.#open.size);
    return { running, waiting: this.#open.size - running };
  }

  /** Duration of its work at present, relative to the usual one. */
  protected get slowdown(): number {
    return this.machine?.slowdown(this.time.now) ?? 1;
  }

  /** Records what an entry learns from an answer of this endpoint. */
  recordAnswer(entry: Incarnation): void {
    if (this.isOverloaded) {
      const { now } = this.time;
      const to = now + this.overload!.backoffS * MS_PER_SECOND;
      this.backoffs.push({ entry, from: now, to });
    }
    if (this.leaving && !this.leavingToldAt.has(entry)) {
      this.leavingToldAt.set(entry, this.time.now);
    }
  }

  /** Creates another endpoint with the same properties at the same address. */
  createReplacement({ name, id }: { name: string; id: string }): FakeBackend {
    const { service, spot, slots, work, version, machine } = this;
    return new FakeBackend(
      { name, id, service, spot, slots, work, version, machine },
      this.#dependencies,
    );
  }

  /** Ends its process and loses its running requests, answering them with a failure if asked to. */
  terminate(
    mode: "dark" | "refuse",
    { answers: answersOpenRequests }: { answers: boolean },
  ): void {
    const open = [...this.#open].filter((answer) =>
      !this.#cancelled.has(answer)
    );
    this.restart(this.life);
    this.mode = mode;
    if (mode === "refuse") {
      open.forEach((answer) =>
        this.time.after(1, () => this.#failAnswer(answer, answersOpenRequests))
      );
    }
  }

  /**
   * Restarts without notice under the same id and address. Its running requests are lost, and connections
   * to the previous process stay silent.
   */
  restart(life: number | undefined): void {
    this.life = life;
    this.#starts++;
    this.#busyUntil = this.time.now;
    this.#open.forEach((answer) => this.#cancelled.add(answer));
    this.#open.clear();
  }

  cancel(answer: BackendAnswer): void {
    this.cancelledRuns += this.#open.has(answer) ? 1 : 0;
    this.#cancelled.add(answer);
  }

  take(request: BackendRequest): void {
    this.arrivals.push(this.time.now);
    this.#dependencies.crashes?.recordSend(request.call, {
      from: request.from,
      at: this,
    });
    if (this.isOverloaded) {
      return this.#respond(request, 503, true);
    }
    this.#open.add(request.answer);
    switch (this.mode) {
      case "dark":
        return;
      case "reject":
        return this.#respond(request, 503, true);
      case "shed":
        return this.arrivals.length % SHED_CYCLE < SHED_PER_CYCLE
          ? this.#respond(request, 503, true)
          : this.#accept(request);
      case "misdirect":
        return this.#respond(request, 421, true);
      case "reset_before":
        return this.#runUnlessCancelled(
          1,
          request,
          () => request.answer.lost("reset"),
        );
      default:
        return this.#accept(request);
    }
  }

  #accept(request: BackendRequest): void {
    this.#dependencies.runs.push({
      call: request.call,
      backend: this.name,
      at: this.time.now,
      customer: request.customer,
    });
    if (!this.#scheduleCrash(request)) {
      this.run(request);
    }
  }

  #scheduleCrash(request: BackendRequest): boolean {
    const { crashes } = this.#dependencies;
    const crash = crashes?.crashOf(request.call, this);
    if (crash === undefined) {
      return false;
    }
    if (crash.answersMeanwhile) {
      // The crash follows even if the answer is complete by then, unless the endpoint has ended before.
      const starts = this.#starts;
      this.time.after(crash.crashAfterMs, () => {
        if (starts === this.#starts) {
          crashes!.crashUnder(request.call, this);
        }
      });
      return false;
    }
    this.#runUnlessCancelled(crash.crashAfterMs, request, () => {
      this.#sendEvents(request, crash.eventCount);
      crashes!.crashUnder(request.call, this);
    });
    return true;
  }

  #sendEvents({ answer, resumeAfter }: BackendRequest, count: number): void {
    if (count > 0) {
      answer.head(200, false);
    }
    for (let index = 1; index <= count; index++) {
      answer.event(resumeAfter + index);
    }
  }

  #failAnswer(answer: BackendAnswer, sendFailure: boolean): void {
    if (sendFailure) {
      answer.head(STATUS_FAILED, false);
      answer.complete();
    } else {
      answer.lost("closed");
    }
  }

  #respond({ answer }: BackendRequest, status: number, notRun: boolean): void {
    this.time.after(1, () => answer.head(status, notRun));
  }

  /** Runs a request that the endpoint has accepted. */
  protected run(request: BackendRequest): void {
    const { answer } = request;
    const start = Math.max(this.time.now, this.#busyUntil);
    this.#busyUntil = start + request.prefill * this.slowdown;
    const readyAfterMs = this.#busyUntil - this.time.now +
      this.work * this.slowdown;
    if (this.mode === "reset_after") {
      return this.#runUnlessCancelled(
        readyAfterMs,
        request,
        () => answer.lost("reset"),
      );
    }
    if (request.streaming && this.mode !== "fail") {
      return this.#runUnlessCancelled(
        readyAfterMs,
        request,
        () => this.#stream(request),
      );
    }
    const status = this.mode === "fail" ? 500 : 200;
    this.#runUnlessCancelled(readyAfterMs, request, () => {
      this.#open.delete(answer);
      answer.head(status, false);
      answer.complete();
    });
  }

  #stream(request: BackendRequest): void {
    const { answer, events, resumeAfter } = request;
    answer.head(200, false);
    const first = resumeAfter + 1;
    const resets = this.mode === "torn";
    const last = resets
      ? Math.min(events, first + EVENTS_BEFORE_RESET - 1)
      : events;
    for (let id = first; id <= last; id++) {
      this.#runUnlessCancelled(
        (id - first) * EVENT_INTERVAL_MS,
        request,
        () => {
          if (this.mode !== "dark") {
            answer.event(id);
          }
        },
      );
    }
    this.#runUnlessCancelled(
      (last - first + 1) * EVENT_INTERVAL_MS,
      request,
      () => {
        this.#open.delete(answer);
        if (this.mode === "dark") {
          return;
        }
        resets ? answer.lost("reset") : answer.complete();
      },
    );
  }

  #runUnlessCancelled(
    delay: number,
    { answer }: BackendRequest,
    run: () => void,
  ): void {
    this.time.after(delay, () => {
      if (!this.#cancelled.has(answer)) {
        run();
      }
    });
  }
}
