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
  ResumedCall,
  StreamOrigin,
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
  /** Software versions of the endpoints that made the events. */
  readonly versions: Set<string>;
  /** The stream that it takes up, `undefined` for a new one. */
  readonly resumption: StreamResumption | undefined;
  ended: "complete" | "broken" | undefined;
  endedAt: number | undefined;
}

/** How a caller takes up a stream that broke off. */
export interface StreamResumption {
  /** Name of the call that brought the first event. */
  readonly root: string;
  /** Number of the last event that the caller has. */
  readonly after: number;
  /** What the request says of the call that brought the first event, `undefined` if it says nothing. */
  readonly stated: ResumedCall | undefined;
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
  readonly resumption?: StreamResumption | undefined;
  /** Called once the answer is complete or has broken off. */
  readonly onEnd?: (call: ObservedCall) => void;
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
  readonly origin: StreamOrigin | undefined;
  readonly recipient: Recipient;
}

/** A request that reached an endpoint. */
export interface ServiceArrival {
  readonly call: string;
  readonly service: string;
  readonly entry: string;
  readonly at: number;
}

/** A line of an entry's log. */
export interface WorldLogLine {
  readonly at: number;
  readonly entry: string;
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
