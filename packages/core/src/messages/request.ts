/**
 * Data about requests that the shell and the core exchange.
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

/** Facts of a request that are known before its body is read. */
export interface RequestHead {
  readonly id: RequestId;
  /** SHA-256 of the bearer token; `undefined` without one. */
  readonly tokenDigest: string | undefined;
  readonly service: string;
  readonly requestClass: string | undefined;
  readonly deadline: Milliseconds | undefined;
  readonly key: string | undefined;
  /** Incarnations of entries that the request has passed through. */
  readonly hops: readonly string[];
  /** Whether a peer of this deployment sent the request, proved by the shared secret. */
  readonly forwarded: boolean;
  /** Number of tokens that the caller already has of an interrupted stream. */
  readonly resumeOffset: number;
}

/** Facts of a request's body. The body itself stays in the shell. */
export interface BodyFacts {
  readonly digest: string;
  readonly promptTokens: number;
  /** Chained hashes of the prompt's leading blocks. */
  readonly blocks: readonly number[];
}

/** Prompt tokens of one prefix block. */
export const TOKENS_PER_BLOCK = 64;

/** Target of an attempt. */
export type AttemptTarget =
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

/** One attempt to be made by the shell. */
export interface Attempt {
  readonly id: AttemptId;
  readonly request: RequestId;
  readonly target: AttemptTarget;
  /** Time left until the deadline when the attempt was created. */
  readonly timeLeft: Milliseconds;
  /** Position of the first token to request, for a stream that is resumed. */
  readonly resumeOffset: number;
  /** Whether to use a new connection, since a kept-alive one may be closed while the request is sent. */
  readonly freshConnection: boolean;
  readonly priority: number;
}

/** Part of a stream that was received and discarded. */
export interface DiscardedPart {
  /** Number of frames that were received while an earlier one was missing. */
  readonly frames: number;
  /** Number of characters of an incomplete event. */
  readonly characters: number;
}

/** End of an attempt, as observed by the shell. */
export type AttemptEnd =
  /** No byte of the request was written. */
  | { readonly kind: "unsent"; readonly detail: string }
  /** Bytes of the request were written, and no complete answer arrived. */
  | {
    readonly kind: "lost";
    readonly detail: string;
    readonly dropped?: DiscardedPart;
  }
  /** A complete answer. Only peers state a `verdict`. */
  | {
    readonly kind: "answered";
    readonly answer: StoredAnswer;
    readonly verdict?: Verdict;
    readonly retryAfter?: Milliseconds;
  }
  /** An answer that is too large for the entry to buffer, received completely or in part. */
  | {
    readonly kind: "oversize";
    readonly status: number;
    readonly verdict?: Verdict;
  }
  /** A stream reached its end marker, and all tokens were sent to the caller. */
  | { readonly kind: "streamed" };

/** Final answer to a caller. */
export type FinalAnswer =
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | {
    readonly kind: "answered";
    readonly answer: StoredAnswer;
    readonly verdict: Verdict;
    readonly replayed: boolean;
    readonly retryAfter?: Milliseconds;
  };
