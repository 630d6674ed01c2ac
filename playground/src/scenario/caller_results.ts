/**
 * What scenarios' callers send and get, held against what the endpoints counted.
 *
 * @module
 */
import type { FinalAnswer } from "@sassafrasstep/core";
import type { World } from "./world.ts";

/** What a scenario's caller sends. */
export interface CallerSend {
  readonly name: string;
  readonly customer: string;
  readonly service: string;
  readonly entry: string;
  readonly key: string | undefined;
  readonly body: string;
  readonly deadlineMs: number;
  readonly requestClass: string | undefined;
  readonly promptTokens: number;
  readonly hops: readonly string[];
}

/** What came of it. */
export interface CallerResult {
  readonly name: string;
  readonly at: number;
  readonly status: number;
  readonly verdict: string;
  readonly thisSend: string;
  readonly reason: string;
  readonly body: string;
  readonly replayed: boolean;
  readonly retryAfterMs: number;
  readonly goTo: readonly string[];
}

/** How a request ended for whoever sent it: a stream's tokens were passed on before. */
export type WayEnd = FinalAnswer | { readonly kind: "streamed" };

/** Keeps one result a caller. */
export class CallerResults {
  readonly byCaller = new Map<string, CallerResult>();
  readonly #world: World;
  readonly #gone = new Set<string>();

  constructor(world: World) {
    this.#world = world;
  }

  /** A caller hangs up: what comes later it does not see. */
  hangUp(name: string): void {
    this.#gone.add(name);
  }

  /** Whether a caller still waits. */
  isOpen(name: string): boolean {
    return !this.byCaller.has(name) && !this.#gone.has(name);
  }

  /** An entry has answered. */
  answer(
    send: CallerSend,
    answer: WayEnd,
  ): void {
    if (this.#gone.has(send.name)) {
      return;
    }
    if (answer.kind === "streamed") {
      this.record(send, { status: 200, verdict: "ran" });
    } else if (answer.kind === "refused") {
      const { status, verdict, thisSend, reason, retryAfter, goTo } =
        answer.refusal;
      this.record(send, {
        status,
        verdict: verdictName(verdict),
        thisSend: thisSend === undefined ? "" : verdictName(thisSend),
        reason,
        retryAfterMs: retryAfter ?? 0,
        goTo: goTo ?? [],
      });
    } else {
      const body = Buffer.from(answer.answer.body, "base64").toString();
      const { verdict, replayed } = answer;
      this.record(send, {
        status: answer.answer.status,
        verdict: verdictName(verdict),
        body,
        replayed,
      });
    }
  }

  /** Notes what a caller saw. */
  record(send: CallerSend, result: Partial<CallerResult>): void {
    const { time, violations } = this.#world;
    if (this.byCaller.has(send.name)) {
      violations.note(time.now, `caller ${send.name} got a second answer`);
    }
    const whole: CallerResult = {
      name: send.name,
      at: time.now,
      status: 0,
      verdict: "",
      thisSend: "",
      reason: "",
      body: "",
      replayed: false,
      retryAfterMs: 0,
      goTo: [],
      ...result,
    };
    this.byCaller.set(send.name, whole);
    this.#checkVerdict(send, whole);
  }

  /** Holds what a caller was told against what the endpoints counted. */
  #checkVerdict(
    send: CallerSend,
    { status, verdict, body }: CallerResult,
  ): void {
    const { time, violations } = this.#world;
    const runs = send.key === undefined ? 0 : this.#world.runsOf(send.key);
    if (status !== 0 && verdict === "not_run" && runs > 0) {
      violations.note(
        time.now,
        `caller ${send.name} was told not_run of a key that ran ${runs} times`,
      );
    }
    if (verdict === "ran" && send.key !== undefined && runs === 0) {
      violations.note(
        time.now,
        `caller ${send.name} was told ran of a key that never ran`,
      );
    }
    if (
      status === 200 && send.key !== undefined &&
      body !== `answer for ${send.key}`
    ) {
      violations.note(
        time.now,
        `caller ${send.name} got "${body}", which is not its own answer`,
      );
    }
  }
}

function verdictName(verdict: { kind: string; settled?: boolean }): string {
  return verdict.kind === "may_have_run"
    ? `may_have_run_${verdict.settled === true ? "settled" : "open"}`
    : verdict.kind;
}
