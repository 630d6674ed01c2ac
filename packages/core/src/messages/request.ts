/**
 * What the shell tells of a request, and what the core has it do.
 *
 * @module
 */
import type {
  AttemptId,
  EndpointId,
  Incarnation,
  Milliseconds,
  RequestId,
} from "../ids/index.ts";
import type { Refusal, Verdict } from "../verdict/index.ts";
import type { StoredAnswer } from "./peer.ts";

/** All that is known before the body is read. */
export interface RequestHead {
  readonly id: RequestId;
  /** SHA-256 of the bearer token; `undefined` without one. */
  readonly tokenDigest: string | undefined;
  readonly service: string;
  readonly requestClass: string | undefined;
  readonly deadline: Milliseconds | undefined;
  readonly key: string | undefined;
  /** Incarnations of entries that the request went through. */
  readonly hops: readonly string[];
  /** Whether a peer of this deployment sent it, proved by the secret. */
  readonly forwarded: boolean;
  /** Tokens that the caller already has of an interrupted stream. */
  readonly resumeOffset: number;
}

/** Facts of a body; the bytes stay in the shell. */
export interface BodyFacts {
  readonly digest: string;
  readonly promptTokens: number;
  /** Chain of hashes of the prompt's leading blocks. */
  readonly blocks: readonly number[];
}

/** Prompt tokens of one prefix block. */
export const BLOCK_TOKENS = 64;

/** Where an attempt goes. */
export type Target =
  | {
    readonly kind: "endpoint";
    readonly endpoint: EndpointId;
    readonly url: string;
  }
  | {
    readonly kind: "peer";
    readonly incarnation: Incarnation;
    readonly url: string;
  };

/** One attempt for the shell to make. */
export interface Attempt {
  readonly id: AttemptId;
  readonly request: RequestId;
  readonly target: Target;
  /** Time left when it was decided. */
  readonly timeLeft: Milliseconds;
  /** First token wanted, for a stream that goes on. */
  readonly resumeOffset: number;
  /** Use a connection of its own: a kept one may die under the request. */
  readonly freshConnection: boolean;
  readonly priority: number;
}

/** What an attempt sent of a stream that no caller gets. */
export interface DroppedPart {
  /** Frames that came before a missing one. */
  readonly frames: number;
  /** Characters of an event that was not whole. */
  readonly characters: number;
}

/** How an attempt ended, as the shell saw it. */
export type AttemptEnd =
  /** No byte of the request was handed over. */
  | { readonly kind: "unsent"; readonly detail: string }
  /** Bytes were handed over and no whole answer came. */
  | {
    readonly kind: "lost";
    readonly detail: string;
    readonly dropped?: DroppedPart;
  }
  /** A whole answer. `verdict` only from a peer. */
  | {
    readonly kind: "answered";
    readonly answer: StoredAnswer;
    readonly verdict?: Verdict;
    readonly retryAfter?: Milliseconds;
  }
  /** A whole answer, or a part that shows that it is more than the entry holds. */
  | {
    readonly kind: "oversize";
    readonly status: number;
    readonly verdict?: Verdict;
  }
  /** A stream came to its end mark; all tokens went to the caller. */
  | { readonly kind: "streamed" };

/** The final answer to a caller, made by the core. */
export type FinalAnswer =
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | {
    readonly kind: "answered";
    readonly answer: StoredAnswer;
    readonly verdict: Verdict;
    readonly replayed: boolean;
    readonly retryAfter?: Milliseconds;
  };
