/**
 * One request while this entry has to do with it.
 *
 * @module
 */
import type { KeyOwner } from "../actions/index.ts";
import type { Instant } from "../ids/index.ts";
import type { Attempt, BodyFacts, RequestHead } from "../messages/index.ts";
import type { HomedCustomer, RequestClass, Service } from "../text/index.ts";
import { AttemptLog } from "../verdict/index.ts";
import type { Interruption } from "./interruption.ts";

/**
 * Where a request stands.
 * - `body`: admitted, its body is being read.
 * - `confirming`: waits until the text in force is confirmed.
 * - `queued`: waits for an endpoint.
 * - `running`: an attempt is under way.
 * - `joined`: waits for the outcome of an earlier send of the same key.
 */
export type Phase = "body" | "confirming" | "queued" | "running" | "joined";

/** A request that was admitted. */
export interface ActiveRequest {
  readonly head: RequestHead;
  readonly customer: HomedCustomer;
  readonly service: Service;
  readonly requestClass: RequestClass;
  readonly keyOwner: KeyOwner | undefined;
  readonly arrivedAt: Instant;
  readonly deadlineAt: Instant;
  readonly attempts: AttemptLog;
  readonly tried: Set<string>;
  phase: Phase;
  phaseSince: Instant;
  facts: BodyFacts | undefined;
  current: Attempt | undefined;
  /** Why a stream that has begun is to go on elsewhere. */
  interruption: Interruption | undefined;
  /** Tokens handed to the caller, of the whole stream. */
  offset: number;
  firstTokenAt: Instant | undefined;
  lastTokenAt: Instant | undefined;
  /** Whether this send began an action under a key that this entry owns. */
  ownsAction: boolean;
  /** Whether the key's owner is known to have ended. */
  ownerGone: boolean;
  /** Whether the caller has its final answer or has gone; an action may still run. */
  closed: boolean;
}

/** What admission found out of a head. */
export type Admission = Pick<
  ActiveRequest,
  | "head"
  | "customer"
  | "service"
  | "requestClass"
  | "keyOwner"
  | "arrivedAt"
  | "deadlineAt"
>;

/** A fresh request whose body is to be read. */
export function newActiveRequest(admission: Admission): ActiveRequest {
  return {
    ...admission,
    attempts: new AttemptLog(),
    tried: new Set(),
    phase: "body",
    phaseSince: admission.arrivedAt,
    facts: undefined,
    current: undefined,
    interruption: undefined,
    offset: admission.head.resumeOffset,
    firstTokenAt: undefined,
    lastTokenAt: undefined,
    ownsAction: false,
    ownerGone: false,
    closed: false,
  };
}

/** Whether a part of the answer is with the caller, or held for it, so that attempts go on after it. */
export function hasBegun({ head, offset }: ActiveRequest): boolean {
  return offset > head.resumeOffset;
}

/** Whether a second run of the request does no harm. */
export function isRepeatable(service: Service): boolean {
  return service.kind === "model" || service.repeatable;
}

/** Whether a mistake about the text in force would break a promise. */
export function needsConfirmedText(
  { customer, service }: Pick<ActiveRequest, "customer" | "service">,
): boolean {
  return customer.bound || !isRepeatable(service);
}
