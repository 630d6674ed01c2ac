/**
 * What callers, entries and endpoints of a scenario tell each other.
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

/** A request as its caller sees it. */
export interface SeenCall {
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

/** How a request is sent. */
export interface CallPlan {
  readonly name: string;
  readonly route: string;
  readonly entry: string;
  readonly timeLeft: number | undefined;
  readonly prompt: Prompt | undefined;
  readonly events: number;
  /** Two requests with the same one are alike. */
  readonly body: string;
  readonly caller: string;
  /** Of its customer, `undefined` where it names none. */
  readonly key: string | undefined;
}

/** An attempt on its way. */
export interface ToBackend {
  readonly target: Extract<CallTarget, { kind: "endpoint" }>;
  readonly head: CallHead;
  readonly customer: CustomerId | undefined;
  readonly resumeAfter: string | undefined;
  readonly recipient: Recipient;
}

/** An attempt on its way. */
export interface ToPeer {
  readonly target: Extract<CallTarget, { kind: "peer" }>;
  readonly head: CallHead;
  readonly customer: CustomerId | undefined;
  readonly resumeAfter: string | undefined;
  readonly recipient: Recipient;
}

/** One line of an entry's log. */
export interface WorldLogLine {
  readonly at: number;
  readonly entry: string;
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}
