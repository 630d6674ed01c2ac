/**
 * Interfaces that a platform implements to map its headers and its catalogue. The gateway itself knows none
 * of the platform's headers.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type {
  AnswerHead,
  AttemptId,
  CallHead,
  CallId,
  CallRefusal,
  CallTarget,
  CatalogueChanges,
  CatalogueEpoch,
  CatalogueSnapshot,
  CustomerId,
  EndpointId,
  Milliseconds,
  NewestPosition,
  PartDigest,
  Revision,
} from "@sassafrasstep/core";

/** Headers as sent on the wire: names and values alternate. */
export type RawHeaders = string[];

/** What the headers of a caller's request state. */
export interface CallerRequestHead
  extends Omit<CallHead, "id" | "bodyBytes" | "fingerprint" | "relay"> {
  /** The parts of the prompt that other requests may share; `undefined` for a request without a prompt. */
  readonly sharedParts: readonly PartDigest[] | undefined;
}

/** Maps requests from callers and answers to them. */
export interface CallerProtocol {
  /** Parses a request; returns `undefined` if it lacks what the platform requires. */
  readHead(message: IncomingMessage): CallerRequestHead | undefined;
  /** Returns the headers of a refusal by the entry itself. */
  refusalHeaders(refusal: CallRefusal): RawHeaders;
}

/** What an attempt adds to the headers of the caller. */
export interface AttemptDetails {
  readonly target: CallTarget;
  /** The customer that sent the request. Endpoints receive no other identification of the caller. */
  readonly customer: CustomerId | undefined;
  readonly timeLeft: Milliseconds;
  readonly resumeAfter: string | undefined;
}

/** What is known of the request to which an answer arrives. */
export interface SentRequest {
  readonly call: CallId;
  readonly attempt: AttemptId;
  readonly target: CallTarget;
  /** Whether the connection had carried a request before. */
  readonly reusedConnection: boolean;
}

/** The status and the parsed headers of an endpoint's answer. */
export interface EndpointAnswerHead extends AnswerHead {
  /** Whether the answer belongs to the request that was sent, and proves that it does where it is a success. */
  readonly matches: boolean;
}

/** What the answer to a health check states. */
export interface HealthAnswer {
  /** How long the endpoint stays cold, `undefined` if the answer does not tell. */
  readonly coldFor: Milliseconds | undefined;
  /**
   * Whether the answer is that of the healthy endpoint to a check. Otherwise it may be an extra answer, with the
   * check's own still to come.
   */
  readonly isProved: boolean;
}

/** Maps requests to endpoints and their answers. */
export interface EndpointProtocol {
  /** Returns the request headers for an endpoint, derived from those of the caller. */
  requestHeaders(caller: RawHeaders, facts: AttemptDetails): RawHeaders;
  /** Parses the status and headers of an endpoint's answer. */
  readHead(
    status: number,
    headers: RawHeaders,
    sent: SentRequest,
  ): EndpointAnswerHead;
  /** Returns the headers of a health check. */
  healthHeaders(endpoint: EndpointId): RawHeaders;
  /** Parses the answer to a health check of an endpoint. */
  readHealth(
    status: number,
    headers: RawHeaders,
    endpoint: EndpointId,
  ): HealthAnswer;
  /** Returns the answer headers for the caller, derived from those of the endpoint. */
  answerHeaders(endpoint: RawHeaders): RawHeaders;
}

/** The changes after a revision, or the notice that they have been compacted. */
export type ChangesResult =
  | {
    readonly kind: "changes";
    readonly changes: CatalogueChanges;
    /** Whether the changes contain every revision up to that of the answer. */
    readonly complete: boolean;
  }
  | {
    readonly kind: "compacted";
    readonly epoch?: CatalogueEpoch | undefined;
  };

/** The platform's store, from which the catalogue is read. */
export interface CatalogueSource {
  /** Reads the entire catalogue. */
  snapshot(timeout: Milliseconds): Promise<CatalogueSnapshot>;
  /** Reads the changes after a revision, waiting up to `wait` for the first one. */
  changes(
    after: Revision,
    limits: { wait: Milliseconds; timeout: Milliseconds },
  ): Promise<ChangesResult>;
  /** Reads the newest position. Unlike waiting for changes, this cannot miss a revision. */
  newest(timeout: Milliseconds): Promise<NewestPosition>;
  close(): Promise<void>;
}
