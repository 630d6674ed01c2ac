/**
 * State of one request while this entry handles it.
 *
 * @module
 */
import type { KeyOwner } from "../actions/index.ts";
import type { Instant } from "../ids/index.ts";
import type { Attempt, BodyFacts, RequestHead } from "../messages/index.ts";
import type {
  ConfiguredCustomer,
  RequestClass,
  Service,
} from "../text/index.ts";
import { AttemptLog } from "../verdict/index.ts";
import type { Interruption } from "./interruption.ts";

/**
 * Stage of a request's processing.
 * - `body`: admitted, its body is being read.
 * - `confirming`: waits until the configuration in force is confirmed.
 * - `queued`: waits for an endpoint.
 * - `running`: an attempt is in progress.
 * - `joined`: waits for the outcome of an earlier send with the same idempotency key.
 */
export type RequestPhase =
  | "body"
  | "confirming"
  | "queued"
  | "running"
  | "joined";

/** A request that was admitted. */
export interface ActiveRequest {
  readonly head: RequestHead;
  readonly customer: ConfiguredCustomer;
  readonly service: Service;
  readonly requestClass: RequestClass;
  readonly keyOwner: KeyOwner | undefined;
  readonly arrivedAt: Instant;
  readonly deadlineAt: Instant;
  readonly attempts: AttemptLog;
  readonly tried: Set<string>;
  phase: RequestPhase;
  phaseSince: Instant;
  facts: BodyFacts | undefined;
  current: Attempt | undefined;
  /** Why a stream that has started must be resumed at another target. */
  interruption: Interruption | undefined;
  /** Position in the whole stream up to which the caller has received tokens. */
  offset: number;
  firstTokenAt: Instant | undefined;
  lastTokenAt: Instant | undefined;
  /** Whether this send started an action under a key that this entry owns. */
  ownsAction: boolean;
  /** Whether the process that owns the key is known to have ended. */
  ownerGone: boolean;
  /** Whether the caller has received its final answer or has disconnected. An action may still run. */
  callerDone: boolean;
}

/** Result of admission, determined from the request's head. */
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

/** Creates the state of an admitted request whose body has not been read yet. */
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
    callerDone: false,
  };
}

/** Whether part of the stream has been sent to the caller or buffered for it. Later attempts continue after it. */
export function hasStreamedTokens({ head, offset }: ActiveRequest): boolean {
  return offset > head.resumeOffset;
}

/** Whether a request to the service may safely run twice. */
export function isRepeatable(service: Service): boolean {
  return service.kind === "model" || service.repeatable;
}

/** Whether the request must not be processed with an outdated configuration: it is home-bound or not repeatable. */
export function needsConfirmedConfiguration(
  { customer, service }: Pick<ActiveRequest, "customer" | "service">,
): boolean {
  return customer.bound || !isRepeatable(service);
}
