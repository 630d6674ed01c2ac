/**
 * Events that the daemon delivers to the gateway, and effects that the gateway asks the daemon to carry out.
 * Request and answer bodies stay in the daemon.
 *
 * @module
 */
import type { StatedValue } from "../endpoint_terms/index.ts";
import type { FeatureSettings } from "../features/index.ts";
import type { FleetMessage, PromptPart } from "../fleet/index.ts";
import type {
  AttemptId,
  CallId,
  CatalogueEpoch,
  CustomerId,
  EndpointId,
  EndpointLife,
  EntryId,
  Incarnation,
  KeyDigest,
  Milliseconds,
  RegionId,
  RequestId,
  Revision,
  ZoneId,
} from "../ids/index.ts";
import type { CrashSubject, RequestFingerprint } from "../quarantine/index.ts";
import type { RetryBounds } from "../retries/index.ts";
import type { CatalogueChanges, CatalogueSnapshot } from "../routes/index.ts";
import type { StreamOrigin } from "../stream_origins/index.ts";
import type { Verdict } from "../verdict/index.ts";

/** The entry's own identity and settings. Immutable. */
export interface GatewayIdentity {
  readonly id: EntryId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** Capacity relative to other entries. */
  readonly weight: number;
  readonly seeds: readonly string[];
  /** The region of each availability zone. */
  readonly regionByZone: ReadonlyMap<ZoneId, RegionId>;
  readonly bounds: GatewayBounds;
  /** Which optional decisions are in use. */
  readonly features: FeatureSettings;
  /** Whether the whole system starts for the first time, so that no stream began before. */
  readonly isFirstStart?: boolean;
}

/** Limits and guarantees of the deployment, from the settings. */
export interface GatewayBounds extends RetryBounds {
  /** How soon after its revocation a key is rejected everywhere; `undefined` where nothing is guaranteed. */
  readonly keyLifetime: Milliseconds | undefined;
  /** In any one second a cold endpoint receives at most its rate times this factor, plus `coldSlack`. */
  readonly coldOvershoot: number;
  readonly coldSlack: number;
  /** The longest time for which callers may cache a list of entries. */
  readonly listLifetime: Milliseconds;
  /** Time between the stop signal and the process being killed. */
  readonly stopTime: Milliseconds;
}

/** What a caller declares about its prompt. */
export interface Prompt {
  readonly model: string;
  readonly promptTokens: number;
  /** The maximum answer length that the caller accepts. */
  readonly outputTokens: number;
  /** The answer length that the caller expects. Correct in the median, but often far off for one request. */
  readonly outputHint: number | undefined;
  /** In order. The last part is specific to this request. */
  readonly parts: readonly PromptPart[];
}

/** Everything known about one request of a caller. */
export interface CallHead {
  readonly id: RequestId;
  readonly call: CallId;
  readonly host: string;
  /** The path with its query, as received. */
  readonly target: string;
  /** How long the caller will wait; `undefined` if it does not say. */
  readonly timeLeft: Milliseconds | undefined;
  readonly prompt: Prompt | undefined;
  /** Digest of the key that identifies the customer. */
  readonly key: KeyDigest | undefined;
  /** The last event that the caller received of an interrupted stream. */
  readonly lastEventId: string | undefined;
  /** The caller's earlier call that brought the first event of the stream; `undefined` if it names none. */
  readonly resumedCall?: ResumedCall | undefined;
  readonly bodyBytes: number;
  /** Identifies the request when it is sent again. */
  readonly fingerprint: RequestFingerprint;
  /** `undefined` if the request came directly from the caller. */
  readonly relay: RelayInfo | undefined;
}

/** How a caller names the call that began the stream that it takes up. */
export type ResumedCall =
  | { readonly kind: "named"; readonly call: CallId }
  /** The name is too long, or no call can have it. */
  | { readonly kind: "malformed" };

/** What an entry sends along with a request that it relays to a peer. */
export interface RelayInfo {
  readonly from: Incarnation;
  /** The number of endpoints that may have received the request already. */
  readonly sentBefore: number;
  /** The customer, as identified by the first entry: only that one sees the key. */
  readonly customer: CustomerId | undefined;
  /** What began the stream that the request continues; `undefined` for a new stream or if the sender can't tell. */
  readonly origin?: StreamOrigin | undefined;
  /** Version of the document by which the sender routed the request; `undefined` if the sender doesn't state it. */
  readonly documentVersion?: Revision | undefined;
}

/** Destination of an attempt. */
export type CallTarget =
  | {
    readonly kind: "endpoint";
    readonly endpoint: EndpointId;
    readonly address: string;
    /** The number of connections that this entry may have open to the endpoint. */
    readonly connections: number;
    /** From 0 (most urgent) to 9 (least urgent). */
    readonly urgency: number | undefined;
    /** Address of an endpoint that has cached a longer prefix of the prompt. */
    readonly prefixFrom: string | undefined;
  }
  | {
    readonly kind: "peer";
    readonly incarnation: Incarnation;
    readonly region: RegionId;
    readonly address: string;
    readonly sentBefore: number;
    /** Version of the document by which the request was routed. */
    readonly documentVersion?: Revision | undefined;
  };

/** One attempt for the daemon to make. */
export interface CallAttempt {
  readonly id: AttemptId;
  readonly request: RequestId;
  readonly target: CallTarget;
  /** Whether the answer is an event stream, to be forwarded event by event. */
  readonly streaming: boolean;
  /**
   * Connections that were idle for longer are not reused: they may be dead, and the request may not be
   * retried.
   */
  readonly maxIdleTime: Milliseconds;
  /** The customer that sent the request. */
  readonly customer: CustomerId | undefined;
  /** The event after which an interrupted stream resumes. */
  readonly resumeAfter: string | undefined;
  /** What began the stream that the attempt continues, `undefined` for a new stream. */
  readonly origin: StreamOrigin | undefined;
}

/** The load that an endpoint reported with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes on the endpoint's machine at present, as a percentage of the usual time. */
  readonly contention: number | undefined;
}

/** The status and the parsed headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  /** Whether the sender guarantees that the request was not executed and will not be. */
  readonly notRun: boolean;
  /** Whether the answer names the request that it belongs to. */
  readonly namesRequest: boolean;
  /** Whether the endpoint itself answered, rather than an entry on the way that refused the request. */
  readonly fromEndpoint: boolean;
  readonly load: ReportedLoad | undefined;
  readonly retryAfter: Milliseconds | undefined;
  /**
   * Requests per second that the endpoint accepts from all entries together; `undefined` if it states none.
   */
  readonly limit: StatedValue | undefined;
  /** Whether the endpoint announces that it is shutting down. */
  readonly leaving: boolean;
  /**
   * Seconds for which an endpoint that rejected the request wants no requests; `undefined` if it states none.
   */
  readonly rest: StatedValue | undefined;
  /**
   * The number of endpoints to which a relaying entry offered the request before it refused it;
   * `undefined` if not stated.
   */
  readonly offered: number | undefined;
  /** What began the stream, as a relaying entry states it; `undefined` for an endpoint's own answer. */
  readonly origin?: StreamOrigin | undefined;
  /** Version of the document by which a peer handled the request; `undefined` for an endpoint's own answer. */
  readonly documentVersion?: Revision | undefined;
}

/** An answer that is about to be forwarded. */
export interface CallAnswer extends AnswerHead {
  /** Whether it is forwarded event by event, so that another endpoint can continue after the last event. */
  readonly events: boolean;
  /** Whether the connection had carried an answer before, so that this one may be an extra answer to that request. */
  readonly reusedConnection: boolean;
}

/**
 * Failure detail of an attempt for which all connections to the endpoint were in use. Not a fault of the
 * endpoint.
 */
export const CONNECTION_LIMIT_REACHED = "Connections are at their limit";

/** How an attempt ended. */
export type CallEnd =
  /** No byte of the request was written. */
  | {
    readonly kind: "unsent";
    readonly detail: string;
    /** Whether the connection was refused: the process behind the address has ended. */
    readonly refused: boolean;
  }
  /** Some of the request was written, but no complete answer arrived. */
  | { readonly kind: "lost"; readonly detail: string }
  /** The complete answer arrived. */
  | { readonly kind: "complete" };

/** The platform's newest position at some time. */
export type NewestPosition = Pick<CatalogueSnapshot, "epoch" | "revision">;

/** An input of the gateway. The time is passed separately. */
export type GatewayEvent =
  | { readonly kind: "tick" }
  | { readonly kind: "stop" }
  /** The settings were reloaded. */
  | { readonly kind: "rebound"; readonly bounds: GatewayBounds }
  | { readonly kind: "datagram"; readonly message: FleetMessage }
  | {
    readonly kind: "catalogueRead";
    readonly snapshot: CatalogueSnapshot;
  }
  | {
    readonly kind: "catalogueChanged";
    readonly changes: CatalogueChanges;
  }
  /** A verified read found nothing newer than the local revision. */
  | {
    readonly kind: "catalogueConfirmed";
    readonly epoch?: CatalogueEpoch | undefined;
  }
  /** The platform's newest position, `undefined` if it did not answer. */
  | {
    readonly kind: "catalogueNewest";
    readonly newest: NewestPosition | undefined;
  }
  /** The machine was suspended for this long, during which the process's clock did not advance. */
  | { readonly kind: "slept"; readonly time: Milliseconds }
  /** The changes since the local revision have been compacted away. */
  | {
    readonly kind: "catalogueCompacted";
    readonly epoch?: CatalogueEpoch | undefined;
  }
  | { readonly kind: "catalogueFailed"; readonly detail: string }
  | {
    readonly kind: "catalogueCopied";
    readonly snapshot: CatalogueSnapshot | undefined;
  }
  | { readonly kind: "arrived"; readonly head: CallHead }
  /** The connection is established, and the daemon asks whether to write the request. */
  | { readonly kind: "commit"; readonly attempt: AttemptId }
  | {
    readonly kind: "answered";
    readonly attempt: AttemptId;
    readonly answer: CallAnswer;
  }
  /** Events of a stream or bytes of a body arrived. */
  | {
    readonly kind: "progress";
    readonly attempt: AttemptId;
    readonly lastEventId: string | undefined;
    /** Whether events without an id were forwarded to the caller after `lastEventId`. */
    readonly unnumbered: boolean;
    /** Number of bytes received of an incomplete event. */
    readonly unfinished: number;
  }
  /** Reading the answer was paused because its caller reads too slowly, or was resumed. */
  | {
    readonly kind: "held";
    readonly attempt: AttemptId;
    readonly held: boolean;
  }
  | {
    readonly kind: "ended";
    readonly attempt: AttemptId;
    readonly end: CallEnd;
  }
  | { readonly kind: "callerGone"; readonly request: RequestId }
  /** The address of a probed endpoint refused the connection. */
  | {
    readonly kind: "portClosed";
    readonly endpoint: EndpointId;
    readonly life: EndpointLife | undefined;
  }
  /** An endpoint has answered a health check. */
  | {
    readonly kind: "healthChecked";
    readonly endpoint: EndpointId;
    readonly life: EndpointLife | undefined;
    /** How long the endpoint stays cold, 0 if it is not. */
    readonly coldFor: Milliseconds;
  }
  /** An operator ends a quarantine. */
  | { readonly kind: "release"; readonly subject: CrashSubject };

/** Why an entry itself refuses a request. */
export type CallRefusalReason =
  | "no_document"
  /** A peer routed the request by a newer document, which this entry could not obtain in time. */
  | "outdated_document"
  | "no_route"
  /** The request has no key, or one that belongs to no customer. */
  | "unknown_key"
  /** It cannot be determined whether the key is still valid. */
  | "key_in_doubt"
  /** The customer has reached its limit. */
  | "over_limit"
  | "no_endpoint"
  /** The call that began the stream is named in a way that no call can be named. */
  | "malformed_resumption"
  /** No entry knows which software version began the stream. */
  | "stream_unknown"
  /** The software version that began the stream has no endpoint any more. */
  | "version_gone"
  | "overloaded"
  /** The bodies of other requests take the memory that this one would need. */
  | "memory_limit"
  /** All eligible endpoints have reached the limits that they stated. */
  | "endpoints_limited"
  /** All eligible endpoints have asked callers to back off. */
  | "endpoints_resting"
  | "rejected"
  | "deadline"
  | "endpoint_failed"
  /** The request is quarantined: endpoints crashed while they ran it. */
  | "held"
  | "stopping";

/** A final answer from the entry itself. */
export interface CallRefusal {
  readonly reason: CallRefusalReason;
  readonly status: number;
  readonly verdict: Verdict;
  /**
   * The number of endpoints that may have received the request, through this entry or a peer it was
   * relayed to.
   */
  readonly offered: number;
  /** When a retry is worthwhile; set only if the request was not executed. */
  readonly retryAfter: Milliseconds | undefined;
}

/** Components of the gateway that log, each with its own prefix. */
export type GatewayLogComponent =
  | "catalogue"
  | "fleet"
  | "call"
  | "endpoint"
  | "quarantine"
  | "region"
  | "stop";

/** What the answer to a catalogue read must prove about the changes in it. */
export type RequiredProof =
  /** No proof is needed. */
  | { readonly kind: "none" }
  /** The changes must lead without a gap to the newest revision. */
  | { readonly kind: "newest" }
  /** The changes must lead without a gap to a revision that a peer reported. */
  | { readonly kind: "reaches"; readonly revision: Revision };

/** An action for the daemon. */
export type GatewayEffect =
  | { readonly kind: "send"; readonly attempt: CallAttempt }
  /** Reply to `commit`: write the request now, with this much time left. */
  | {
    readonly kind: "proceed";
    readonly attempt: AttemptId;
    readonly timeLeft: Milliseconds;
  }
  | { readonly kind: "abort"; readonly attempt: AttemptId }
  /** Connect to an address and close at once, and report it if the connection is refused. */
  | {
    readonly kind: "knock";
    readonly endpoint: EndpointId;
    readonly life: EndpointLife | undefined;
    readonly address: string;
  }
  /** Ask an endpoint for its health, and report what it answers. */
  | {
    readonly kind: "checkHealth";
    readonly endpoint: EndpointId;
    readonly life: EndpointLife | undefined;
    readonly address: string;
    readonly path: string;
    /** Maximum number of open connections to the address. */
    readonly connections: number;
  }
  /** Reply to `answered`: forward the answer to the caller. */
  | {
    readonly kind: "forward";
    readonly attempt: AttemptId;
    /** What began the stream, for the entry that relayed the request. */
    readonly origin: StreamOrigin | undefined;
    /** Version of the document by which the request was handled, for the entry that relayed it. */
    readonly documentVersion?: Revision | undefined;
  }
  /** Reply to `answered`: continue the stream where the previous attempt broke off. */
  | { readonly kind: "goOn"; readonly attempt: AttemptId }
  | {
    readonly kind: "refuse";
    readonly request: RequestId;
    readonly refusal: CallRefusal;
  }
  /** The answer that was started cannot be completed: close the caller's connection. */
  | { readonly kind: "breakOff"; readonly request: RequestId }
  | { readonly kind: "complete"; readonly request: RequestId }
  | {
    readonly kind: "datagram";
    readonly to: string;
    readonly message: FleetMessage;
  }
  /** Read the whole catalogue, or only the changes after a revision, waiting for one if there is none. */
  | {
    readonly kind: "readCatalogue";
    readonly proof: RequiredProof;
    readonly after: Revision | undefined;
    readonly wait: Milliseconds;
    readonly timeout: Milliseconds;
  }
  /** Ask the platform for its newest position. */
  | { readonly kind: "askNewest"; readonly timeout: Milliseconds }
  | {
    readonly kind: "copyCatalogue";
    readonly address: string;
    readonly timeout: Milliseconds;
  }
  | {
    readonly kind: "log";
    readonly part: GatewayLogComponent;
    readonly text: string;
    readonly fields: Readonly<Record<string, unknown>>;
  }
  /** Accept no more connections, and close those without a request. */
  | { readonly kind: "stopListening" }
  /** Exit the process once all answers are sent, within this time at the latest. */
  | { readonly kind: "exit"; readonly within: Milliseconds };

/** Queues an effect for the daemon. */
export type GatewayEmit = (effect: GatewayEffect) => void;
