/**
 * Types of the requests in a load and of their outcomes.
 *
 * @module
 */
import type { CustomerId, Prompt } from "@sassafrasstep/core";
import type { LoadCustomer } from "./load_customers.ts";

/** A kind of request, with the distributions from which requests are drawn. */
export interface LoadKind {
  readonly name: string;
  readonly route: string;
  /** Share of the traffic, relative to the weights of other kinds. */
  readonly weight: number;
  /** Mean and sigma of the lognormal distribution of unshared prompt tokens. */
  readonly promptTokens: number;
  readonly promptSpread: number;
  /** Shared prompt parts: the number of variants to draw from, and the tokens of each. */
  readonly shared: readonly {
    readonly variants: number;
    readonly tokens: number;
  }[];
  readonly answerTokens: number;
  readonly answerSpread: number;
  /** The output limit that callers state. */
  readonly maxAnswerTokens: number;
  /** Value of an answer that is on time, and of a late one, for a request of mean size. */
  readonly value: number;
  readonly lateValue: number;
  /** Time until callers give up, in milliseconds. */
  readonly deadlineMs: number;
}

/** A request whose sizes and value have been drawn. */
export interface DrawnRequest {
  readonly kind: LoadKind;
  readonly prompt: Prompt;
  readonly answerTokens: number;
  /** Tokens of prompt and answer, weighted by what each costs an engine. */
  readonly size: number;
  readonly value: number;
  /** The customer that sends the request, `undefined` in a load without customers. */
  readonly customer?: LoadCustomer | undefined;
}

/** How a request ended from its caller's point of view; `left` when the caller gave up. */
export type RequestEnd = "on_time" | "late" | "refused" | "failed" | "left";

/** The outcome of one request, as its caller observed it. */
export interface LoadOutcome {
  readonly kind: string;
  readonly region: string;
  /** The customer that sent the request, `undefined` in a load without customers. */
  readonly customer: CustomerId | undefined;
  /** Time of the first attempt, in milliseconds since the start of the load's steps. */
  readonly at: number;
  readonly size: number;
  readonly value: number;
  readonly earnedValue: number;
  readonly end: RequestEnd;
  readonly attempts: number;
  /** Time for which attempts were held that ended with a refusal, in milliseconds. */
  readonly heldMs: number;
  /** Time from the first attempt to the first event, in milliseconds; `undefined` without an event. */
  readonly firstEventMs: number | undefined;
}
