/**
 * How requests and answers of a platform are framed. One class each for a platform; the gateway knows
 * no header of it.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type {
  AnswerHead,
  CallHead,
  CallRefusal,
  CallTarget,
  CatalogueChanges,
  CatalogueEpoch,
  CatalogueSnapshot,
  CustomerId,
  Milliseconds,
  Revision,
} from "@sassafrasstep/core";

/** Headers as they stand on the wire: names and values in turn. */
export type RawHeaders = string[];

/** What a caller's request says, before its body. */
export type CallerHead = Omit<
  CallHead,
  "id" | "bodyBytes" | "fingerprint" | "relay"
>;

/** Requests of callers. */
export interface CallerProtocol {
  /** `undefined` where the request lacks what the platform demands. */
  readHead(message: IncomingMessage): CallerHead | undefined;
  /** Headers of an answer that the entry gives itself. */
  refusalHeaders(refusal: CallRefusal): RawHeaders;
}

/** What an attempt adds to the caller's headers. */
export interface AttemptFacts {
  readonly target: CallTarget;
  /** Whose request it is; endpoints get this name and no other. */
  readonly customer: CustomerId | undefined;
  readonly timeLeft: Milliseconds;
  readonly resumeAfter: string | undefined;
}

/** The head of an endpoint's answer. */
export interface EndpointHead extends AnswerHead {
  /** Whether it belongs to the request that was sent. */
  readonly matches: boolean;
}

/** Requests to endpoints. */
export interface EndpointProtocol {
  /** Headers for an endpoint, from those of the caller. */
  requestHeaders(caller: RawHeaders, facts: AttemptFacts): RawHeaders;
  readHead(
    status: number,
    headers: RawHeaders,
    sent: Pick<CallHead, "call">,
  ): EndpointHead;
  /** Headers for the caller, from those of the endpoint. */
  answerHeaders(endpoint: RawHeaders): RawHeaders;
}

/** Changes since a revision, or word that they are forgotten. */
export type ChangesAnswer =
  | {
    readonly kind: "changes";
    readonly changes: CatalogueChanges;
    /** Whether each revision up to the answer's is among them. */
    readonly complete: boolean;
  }
  | {
    readonly kind: "compacted";
    readonly epoch?: CatalogueEpoch | undefined;
  };

/** A place in the history of the published picture. */
export interface StatedPosition {
  readonly epoch?: CatalogueEpoch | undefined;
  readonly revision: Revision;
}

/** Where the published picture is read. */
export interface CatalogueSource {
  snapshot(timeout: Milliseconds): Promise<CatalogueSnapshot>;
  /** Waits for a change up to `wait`. */
  changes(
    after: Revision,
    limits: { wait: Milliseconds; timeout: Milliseconds },
  ): Promise<ChangesAnswer>;
  /** The newest position at present; unlike a wait for changes it cannot miss one. */
  newest(timeout: Milliseconds): Promise<StatedPosition>;
  close(): Promise<void>;
}
