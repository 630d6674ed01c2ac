/**
 * Types that describe the calls, attempts and log lines of a scenario.
 *
 * @module
 */
import type {
  CallHead,
  CallTarget,
  CustomerId,
  Prompt,
  RequestId,
} from "@sassafrasstep/core";
import type { Recipient } from "./virtual_attempts.ts";
import type { VirtualGateway } from "./virtual_gateway.ts";

/** A request and its answer as the caller sees them. */
export interface ObservedCall {
  readonly name: string;
  readonly route: string;
  readonly key: string | undefined;
  readonly entry: VirtualGateway;
  readonly sentAt: number;
  id: RequestId | undefined;
  status: number | undefined;
  retryAfter: number | undefined;
  readonly events: number[];
  ended: "complete" | "broken" | undefined;
  endedAt: number | undefined;
}

/** How a caller sends a request. */
export interface CallPlan {
  readonly name: string;
  readonly route: string;
  readonly entry: string;
  readonly timeLeftMs: number | undefined;
  readonly prompt: Prompt | undefined;
  readonly events: number;
  /** Requests with the same body have the same content digest. */
  readonly body: string;
  readonly caller: string;
  /** The customer's key, `undefined` if the request carries none. */
  readonly key: string | undefined;
}

/** An attempt that is sent to an endpoint. */
export interface BackendAttempt {
  readonly target: Extract<CallTarget, { kind: "endpoint" }>;
  readonly head: CallHead;
  readonly customer: CustomerId | undefined;
  readonly resumeAfter: string | undefined;
  readonly recipient: Recipient;
}

/** An attempt that is relayed to a peer. */
export interface PeerAttempt {
  readonly target: Extract<CallTarget, { kind: "peer" }>;
  readonly head: CallHead;
  readonly customer: CustomerId | undefined;
  readonly resumeAfter: string | undefined;
  readonly recipient: Recipient;
}

/** A line of an entry's log. */
export interface WorldLogLine {
  readonly at: number;
  readonly entry: string;
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
