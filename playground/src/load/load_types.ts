/**
 * What a load is made of, and what came of it.
 *
 * @module
 */
import type { Prompt } from "@sassafrasstep/core";

/** One kind of request. */
export interface LoadKind {
  readonly name: string;
  readonly route: string;
  /** Share of the traffic, relative to other kinds. */
  readonly weight: number;
  /** Own prompt tokens in the middle, and how far they spread (of a lognormal distribution). */
  readonly promptTokens: number;
  readonly spread: number;
  /** Shared parts: among how many, of how many tokens. */
  readonly shared: readonly {
    readonly among: number;
    readonly tokens: number;
  }[];
  readonly answerTokens: number;
  readonly answerSpread: number;
  /** Longest answer that callers allow for. */
  readonly limit: number;
  readonly worth: number;
  readonly lateWorth: number;
  /** How long callers wait, in milliseconds. */
  readonly deadline: number;
}

/** One request with its facts drawn. */
export interface DrawnRequest {
  readonly kind: LoadKind;
  readonly prompt: Prompt;
  readonly answerTokens: number;
  readonly worth: number;
}

/** How a request ended for its caller. */
export type LoadEnd = "on_time" | "late" | "refused" | "failed" | "left";

/** One request as its caller saw it. */
export interface LoadOutcome {
  readonly kind: string;
  readonly region: string;
  /** When it was first sent, in milliseconds since the load began. */
  readonly at: number;
  readonly worth: number;
  readonly earned: number;
  readonly end: LoadEnd;
  readonly tries: number;
  /** From the first try to the first event, in milliseconds; `undefined` without one. */
  readonly firstAfter: number | undefined;
}
