/**
 * An endpoint under virtual time: runs requests, and fails in the ways that endpoints do.
 *
 * @module
 */
import type {
  AnswerHead,
  CallHead,
  CallTarget,
  EndpointId,
  Incarnation,
} from "@sassafrasstep/core";
import type { Spot } from "../scenario/network.ts";
import type { VirtualGateway } from "./virtual_gateway.ts";
import type { VirtualTime } from "../scenario/virtual_time.ts";

/** How the endpoint treats requests. */
export type BackendMode =
  | "answer"
  /** Runs and says failure. */
  | "fail"
  /** Says that it did not run. */
  | "reject"
  /** Runs and breaks the connection. */
  | "reset_after"
  /** Breaks the connection and does not run. */
  | "reset_before"
  /** Nothing comes back, connections hang. */
  | "dark"
  /** Connections are refused. */
  | "refuse"
  /** Another endpoint has the address. */
  | "misdirect"
  /** Breaks streams off after some events. */
  | "torn";

/** Events before a torn stream breaks. */
export const TORN_EVENTS = 3;
const EVENT_MS = 40;
const FAILED = 500;
const MS_PER_SECOND = 1_000;

/** What an attempt sees of its request. */
export interface BackendAnswer {
  head(status: number, notRun: boolean): void;
  event(id: number): void;
  complete(): void;
  lost(detail: string): void;
}

/** One request at the endpoint. */
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

/** What ends endpoints, as they see it. */
export interface CrashRules {
  /** A request has reached an endpoint. */
  noteArrival(
    call: string,
    way: { from: VirtualGateway; at: FakeBackend },
  ): void;
  /** Time until a run of a request ends its endpoint, `undefined` where it does not. */
  timeOf(call: string, backend: FakeBackend): number | undefined;
  /** The endpoint ends under a request. */
  under(call: string, backend: FakeBackend): void;
}

/** One run of a request. */
export interface Run {
  readonly call: string;
  readonly backend: string;
  readonly at: number;
  /** Whose request it was, as the endpoint was told. */
  readonly customer: string | undefined;
}

/** One endpoint. */
export class FakeBackend {
  readonly name: string;
  readonly id: EndpointId;
  readonly service: string;
  readonly spot: Spot;
  readonly slots: number;
  readonly work: number;
  readonly version: string;
  mode: BackendMode = "answer";
  /** Its present life, where it tells one. */
  life: number | undefined;
  /** Limits that it stated, in requests a second, and since when. */
  readonly limits: { at: number; perSecond: number | undefined }[] = [];
  /** Whether it says in its answers that it leaves. */
  leaving = false;
  /** When each incarnation of an entry first had an answer that says so. */
  readonly toldLeaving = new Map<Incarnation, number>();
  /** Until when it turns requests away, and the seconds of rest that it then asks for. */
  tired: { until: number; restS: number } | undefined;
  /** Rests that it asked entries for. */
  readonly rests: { entry: Incarnation; from: number; to: number }[] = [];
  /** Times of requests that arrived. */
  readonly arrivals: number[] = [];
  /** Incarnations of the entries that sent them. */
  readonly senders: Incarnation[] = [];
  protected readonly time: VirtualTime;
  readonly #tools: { time: VirtualTime; runs: Run[]; crashes?: CrashRules };
  readonly #cancelled = new Set<BackendAnswer>();
  readonly #open = new Set<BackendAnswer>();
  #busyUntil = 0;

  constructor(
    { name, id, service, spot, slots, work, version = "v1" }: {
      name: string;
      id: string;
      service: string;
      spot: Spot;
      slots: number;
      work: number;
      version?: string;
    },
    tools: { time: VirtualTime; runs: Run[]; crashes?: CrashRules },
  ) {
    this.name = name;
    this.id = id as EndpointId;
    this.service = service;
    this.spot = spot;
    this.slots = slots;
    this.work = work;
    this.version = version;
    this.time = tools.time;
    this.#tools = tools;
  }

  /** What it states of itself in each answer. */
  get stated(): Pick<AnswerHead, "limit" | "leaving" | "rest"> {
    const value = this.limits.at(-1)?.perSecond;
    return {
      rest: this.isTired
        ? { kind: "value", value: this.tired!.restS }
        : undefined,
      limit: value === undefined ? undefined : { kind: "value", value },
      leaving: this.leaving,
    };
  }

  get isTired(): boolean {
    return this.tired !== undefined && this.time.now < this.tired.until;
  }

  /** An entry has an answer of this endpoint. */
  noteTold(entry: Incarnation): void {
    if (this.isTired) {
      const { now } = this.time;
      const to = now + this.tired!.restS * MS_PER_SECOND;
      this.rests.push({ entry, from: now, to });
    }
    if (this.leaving && !this.toldLeaving.has(entry)) {
      this.toldLeaving.set(entry, this.time.now);
    }
  }

  /** Another endpoint of the same kind, at the same address. */
  successor({ name, id }: { name: string; id: string }): FakeBackend {
    const { service, spot, slots, work, version } = this;
    return new FakeBackend(
      { name, id, service, spot, slots, work, version },
      this.#tools,
    );
  }

  /** Its process ends: what it ran is lost. `answers`: it still says that it failed. */
  end(mode: "dark" | "refuse", { answers }: { answers: boolean }): void {
    const open = [...this.#open].filter((answer) =>
      !this.#cancelled.has(answer)
    );
    this.startAgain(this.life);
    this.mode = mode;
    if (mode === "refuse") {
      open.forEach((answer) =>
        this.time.after(1, () => this.#breakOff(answer, answers))
      );
    }
  }

  /**
   * Ends without a word and is there again under its id and address: what it ran is lost, and the
   * connections to the former life stay silent.
   */
  startAgain(life: number | undefined): void {
    this.life = life;
    this.#busyUntil = this.time.now;
    this.#open.forEach((answer) => this.#cancelled.add(answer));
    this.#open.clear();
  }

  cancel(answer: BackendAnswer): void {
    this.#cancelled.add(answer);
  }

  take(request: BackendRequest): void {
    this.arrivals.push(this.time.now);
    this.#tools.crashes?.noteArrival(request.call, {
      from: request.from,
      at: this,
    });
    if (this.isTired) {
      return this.#head(request, 503, true);
    }
    this.#open.add(request.answer);
    switch (this.mode) {
      case "dark":
        return;
      case "reject":
        return this.#head(request, 503, true);
      case "misdirect":
        return this.#head(request, 421, true);
      case "reset_before":
        return this.#later(1, request, () => request.answer.lost("reset"));
      default:
        this.#tools.runs.push({
          call: request.call,
          backend: this.name,
          at: this.time.now,
          customer: request.customer,
        });
        if (!this.#crashUnder(request)) {
          this.run(request);
        }
    }
  }

  #crashUnder(request: BackendRequest): boolean {
    const { crashes } = this.#tools;
    const after = crashes?.timeOf(request.call, this);
    if (after === undefined) {
      return false;
    }
    this.#later(after, request, () => crashes!.under(request.call, this));
    return true;
  }

  #breakOff(answer: BackendAnswer, answers: boolean): void {
    if (answers) {
      answer.head(FAILED, false);
      answer.complete();
    } else {
      answer.lost("closed");
    }
  }

  #head({ answer }: BackendRequest, status: number, notRun: boolean): void {
    this.time.after(1, () => answer.head(status, notRun));
  }

  /** Works on a request that was taken. */
  protected run(request: BackendRequest): void {
    const { answer } = request;
    const start = Math.max(this.time.now, this.#busyUntil);
    this.#busyUntil = start + request.prefill;
    const ready = this.#busyUntil - this.time.now + this.work;
    if (this.mode === "reset_after") {
      return this.#later(ready, request, () => answer.lost("reset"));
    }
    if (request.streaming && this.mode !== "fail") {
      return this.#later(ready, request, () => this.#stream(request));
    }
    const status = this.mode === "fail" ? 500 : 200;
    this.#later(ready, request, () => {
      this.#open.delete(answer);
      answer.head(status, false);
      answer.complete();
    });
  }

  #stream(request: BackendRequest): void {
    const { answer, events, resumeAfter } = request;
    answer.head(200, false);
    const first = resumeAfter + 1;
    const torn = this.mode === "torn";
    const last = torn ? Math.min(events, first + TORN_EVENTS - 1) : events;
    for (let id = first; id <= last; id++) {
      this.#later((id - first) * EVENT_MS, request, () => {
        if (this.mode !== "dark") {
          answer.event(id);
        }
      });
    }
    this.#later((last - first + 1) * EVENT_MS, request, () => {
      this.#open.delete(answer);
      if (this.mode === "dark") {
        return;
      }
      torn ? answer.lost("reset") : answer.complete();
    });
  }

  #later(delay: number, { answer }: BackendRequest, run: () => void): void {
    this.time.after(delay, () => {
      if (!this.#cancelled.has(answer)) {
        run();
      }
    });
  }
}
