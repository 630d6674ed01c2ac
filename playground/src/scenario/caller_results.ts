/**
 * The requests of a scenario's callers and their results, checked against the runs that endpoints counted.
 *
 * @module
 */
import type { FinalAnswer } from "@sassafrasstep/core";
import type { World } from "./world.ts";

/** A request of a scenario's caller. */
export interface CallerRequest {
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

/** What a caller received. `expect` lines refer to these fields by name. */
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

/** What the sender of a request receives in the end. A stream's tokens have been passed on before. */
export type RequestOutcome = FinalAnswer | { readonly kind: "streamed" };

/** Records one result per caller and checks it. */
export class CallerResults {
  readonly byCaller = new Map<string, CallerResult>();
  readonly #world: World;
  readonly #hungUp = new Set<string>();

  constructor(world: World) {
    this.#world = world;
  }

  /** Marks a caller as hung up. Later answers to it are not recorded. */
  hangUp(name: string): void {
    this.#hungUp.add(name);
  }

  /** Whether a caller has neither received an answer nor hung up. */
  isWaiting(name: string): boolean {
    return !this.byCaller.has(name) && !this.#hungUp.has(name);
  }

  /** Records an entry's answer to a caller. */
  recordOutcome(
    request: CallerRequest,
    outcome: RequestOutcome,
  ): void {
    if (this.#hungUp.has(request.name)) {
      return;
    }
    if (outcome.kind === "streamed") {
      this.record(request, { status: 200, verdict: "ran" });
    } else if (outcome.kind === "refused") {
      const { status, verdict, thisSend, reason, retryAfter, goTo } =
        outcome.refusal;
      this.record(request, {
        status,
        verdict: formatVerdict(verdict),
        thisSend: thisSend === undefined ? "" : formatVerdict(thisSend),
        reason,
        retryAfterMs: retryAfter ?? 0,
        goTo: goTo ?? [],
      });
    } else {
      const body = Buffer.from(outcome.answer.body, "base64").toString();
      const { verdict, replayed } = outcome;
      this.record(request, {
        status: outcome.answer.status,
        verdict: formatVerdict(verdict),
        body,
        replayed,
      });
    }
  }

  /** Records a caller's result. A second result for the same caller is a violation. */
  record(request: CallerRequest, result: Partial<CallerResult>): void {
    const { time, violations } = this.#world;
    if (this.byCaller.has(request.name)) {
      violations.note(time.now, `caller ${request.name} got a second answer`);
    }
    const fullResult: CallerResult = {
      name: request.name,
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
    this.byCaller.set(request.name, fullResult);
    this.#checkVerdict(request, fullResult);
  }

  /** Checks a caller's verdict and body against the runs that endpoints counted. */
  #checkVerdict(
    request: CallerRequest,
    { status, verdict, body }: CallerResult,
  ): void {
    const { time, violations } = this.#world;
    const runs = request.key === undefined
      ? 0
      : this.#world.countRuns(request.key);
    if (status !== 0 && verdict === "not_run" && runs > 0) {
      violations.note(
        time.now,
        `caller ${request.name} was told not_run for a key that ran ${runs} times`,
      );
    }
    if (verdict === "ran" && request.key !== undefined && runs === 0) {
      violations.note(
        time.now,
        `caller ${request.name} was told ran for a key that never ran`,
      );
    }
    if (
      status === 200 && request.key !== undefined &&
      body !== `answer for ${request.key}`
    ) {
      violations.note(
        time.now,
        `caller ${request.name} got "${body}", which is not its own answer`,
      );
    }
  }
}

function formatVerdict(verdict: { kind: string; settled?: boolean }): string {
  return verdict.kind === "may_have_run"
    ? `may_have_run_${verdict.settled === true ? "settled" : "open"}`
    : verdict.kind;
}
