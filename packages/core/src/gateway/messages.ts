/**
 * What the shell tells the gateway, and what the gateway has it do. The bytes of requests and answers
 * stay in the shell.
 *
 * @module
 */
import type { Stated } from "../endpoint_terms/index.ts";
import type { FleetMessage, PromptPart } from "../fleet/index.ts";
import type {
  AttemptId,
  CallId,
  CatalogueEpoch,
  ContentDigest,
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
import type { RequestFingerprint } from "../quarantine/index.ts";
import type { CatalogueChanges, CatalogueSnapshot } from "../routes/index.ts";
import type { Verdict } from "../verdict/index.ts";

/** What an entry knows of itself from its settings. Never changes. */
export interface GatewaySelf {
  readonly id: EntryId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly callerAddress: string;
  readonly peerAddress: string;
  /** What it can carry, relative to other entries. */
  readonly weight: number;
  readonly seeds: readonly string[];
  /** Region of each availability zone. */
  readonly regionByZone: ReadonlyMap<ZoneId, RegionId>;
  readonly bounds: GatewayBounds;
}

/** Figures that the deployment promises, from the settings. */
export interface GatewayBounds {
  /** Repeats allowed over all entries: this part of the requests of a window, and `repeatSlack`. */
  readonly repeatRatio: number;
  readonly repeatWindow: Milliseconds;
  readonly repeatSlack: number;
  /** Time after which a key that was taken away opens nothing, `undefined` where none is promised. */
  readonly keyLifetime: Milliseconds | undefined;
  /** A cold endpoint bears its rate times this, and `coldSlack`, in one second. */
  readonly coldOvershoot: number;
  readonly coldSlack: number;
  /** Longest that callers may keep a list of entries. */
  readonly listLifetime: Milliseconds;
  /** Time from the signal to stop until the process is killed. */
  readonly stopTime: Milliseconds;
}

/** What a caller says of its prompt. */
export interface Prompt {
  readonly model: string;
  readonly promptTokens: number;
  /** Longest answer that the caller allows for. */
  readonly outputTokens: number;
  /** Length of the answer that the caller expects; right in the middle, often far off. */
  readonly outputHint: number | undefined;
  /** In order; the last one belongs to the request itself. */
  readonly parts: readonly PromptPart[];
}

/** All that is known of one request of a caller. */
export interface CallHead {
  readonly id: RequestId;
  readonly call: CallId;
  readonly host: string;
  /** Path with its query, as sent. */
  readonly target: string;
  /** How long the caller will wait, `undefined` where it does not say. */
  readonly timeLeft: Milliseconds | undefined;
  readonly prompt: Prompt | undefined;
  /** Of the key by which the caller names its customer. */
  readonly key: KeyDigest | undefined;
  /** Last event that the caller has of an interrupted stream. */
  readonly lastEventId: string | undefined;
  readonly bodyBytes: number;
  /** What it is known by when it comes again. */
  readonly fingerprint: RequestFingerprint;
  /** `undefined` where the caller itself sent it. */
  readonly relay: RelayFacts | undefined;
}

/** What one entry tells another with a request that it passes on. */
export interface RelayFacts {
  readonly from: Incarnation;
  /** Endpoints that may have got the request before. */
  readonly sentBefore: number;
  /** Whose request it is, as its first entry found: only that one sees the key. */
  readonly customer: CustomerId | undefined;
}

/** Where an attempt goes. */
export type CallTarget =
  | {
    readonly kind: "endpoint";
    readonly endpoint: EndpointId;
    readonly address: string;
    /** Connections that this entry may have open there. */
    readonly connections: number;
    /** 0 first, 9 last. */
    readonly urgency: number | undefined;
    /** Address of an endpoint that holds more of the prompt's prefix. */
    readonly prefixFrom: string | undefined;
  }
  | {
    readonly kind: "peer";
    readonly incarnation: Incarnation;
    readonly region: RegionId;
    readonly address: string;
    readonly sentBefore: number;
  };

/** One attempt for the shell to make. */
export interface CallAttempt {
  readonly id: AttemptId;
  readonly request: RequestId;
  readonly target: CallTarget;
  /** Whether the answer is a stream of events, to be passed on as they come. */
  readonly streaming: boolean;
  /** A connection that was idle for longer may be dead, and the request may not repeat. */
  readonly mostIdle: Milliseconds;
  /** Whose request it is. */
  readonly customer: CustomerId | undefined;
  /** Event after which a stream goes on. */
  readonly resumeAfter: string | undefined;
}

/** Load that an endpoint told with an answer. */
export interface ToldLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** The head of an answer, as its sender wrote it. */
export interface AnswerHead {
  readonly status: number;
  /** Whether the answerer vouches that the request did not run and will not. */
  readonly notRun: boolean;
  /** Whether it is the endpoint's own answer, not a refusal by an entry on the way. */
  readonly genuine: boolean;
  readonly load: ToldLoad | undefined;
  readonly retryAfter: Milliseconds | undefined;
  /** Requests a second that the endpoint takes from all entries together, `undefined` where it states none. */
  readonly limit: Stated | undefined;
  /** Whether the endpoint says that it leaves. */
  readonly leaving: boolean;
  /** Seconds for which an endpoint that turned the request away wants nothing, `undefined` where it states none. */
  readonly rest: Stated | undefined;
  /** Endpoints that an entry on the way offered it to before it refused, `undefined` where none says. */
  readonly offered: number | undefined;
}

/** An answer as it is about to be passed on. */
export interface CallAnswer extends AnswerHead {
  /** Whether event by event, so that another endpoint may go on after its last one. */
  readonly events: boolean;
}

/** Detail of an attempt that found all connections to its endpoint taken: no fault of the endpoint. */
export const CONNECTION_LIMIT = "Connections are at their limit";

/** How an attempt ended. */
export type CallEnd =
  /** No byte of the request was written. */
  | {
    readonly kind: "unsent";
    readonly detail: string;
    /** Whether nothing listens at the address: the process behind it has ended. */
    readonly refused: boolean;
  }
  /** Bytes were written, and no whole answer came. */
  | { readonly kind: "lost"; readonly detail: string }
  /** The whole answer came. */
  | { readonly kind: "complete" };

/** Something that happened. The time is given beside it. */
export type GatewayEvent =
  | { readonly kind: "tick" }
  | { readonly kind: "stop" }
  /** The settings have changed. */
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
  /** A verified read found nothing newer than the revision in force. */
  | {
    readonly kind: "catalogueConfirmed";
    readonly epoch?: CatalogueEpoch | undefined;
  }
  /** The machine was suspended for so long, and the process's clock did not run. */
  | { readonly kind: "slept"; readonly time: Milliseconds }
  /** Changes since the revision in force are no longer to be had. */
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
  /** The connection stands; may the request be written? */
  | { readonly kind: "commit"; readonly attempt: AttemptId }
  | {
    readonly kind: "answered";
    readonly attempt: AttemptId;
    readonly answer: CallAnswer;
  }
  /** Events of a stream, or bytes of a body, arrived. */
  | {
    readonly kind: "progress";
    readonly attempt: AttemptId;
    readonly lastEventId: string | undefined;
    /** Whether events without an id have gone to the caller after that one. */
    readonly unnumbered: boolean;
    /** Bytes of an event that is not whole yet. */
    readonly unfinished: number;
  }
  /** Its caller has no room for more, so that it is not read; or it is read again. */
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
  /** Nothing listens at the address of an endpoint that was knocked at. */
  | {
    readonly kind: "portClosed";
    readonly endpoint: EndpointId;
    readonly life: EndpointLife | undefined;
  }
  /** An operator ends a hold. */
  | { readonly kind: "release"; readonly content: ContentDigest };

/** Why a request is refused by an entry itself. */
export type CallRefusalReason =
  | "no_document"
  | "no_route"
  /** It names no customer, or by a key that none has. */
  | "unknown_key"
  /** It cannot be told whether its key still holds. */
  | "key_in_doubt"
  /** Its customer has had as much as it may. */
  | "over_limit"
  | "no_endpoint"
  | "overloaded"
  /** The endpoints that could serve it take no more than the limits that they stated. */
  | "endpoints_limited"
  /** The endpoints that could serve it have asked for rest. */
  | "endpoints_resting"
  | "rejected"
  | "deadline"
  | "endpoint_failed"
  /** It has ended endpoints that ran it. */
  | "held"
  | "stopping";

/** A final answer of an entry itself. */
export interface CallRefusal {
  readonly reason: CallRefusalReason;
  readonly status: number;
  readonly verdict: Verdict;
  /** Endpoints that may have got it, through this entry or one that it was passed on to. */
  readonly offered: number;
  /** When asking again makes sense; only where the request has not run. */
  readonly retryAfter: Milliseconds | undefined;
}

/** Parts of the gateway that log, each with its fixed prefix. */
export type GatewayPart =
  | "catalogue"
  | "fleet"
  | "call"
  | "endpoint"
  | "quarantine"
  | "region"
  | "stop";

/** What the answer to a read has to show of the changes that it names. */
export type ReadProof =
  /** Nothing. */
  | { readonly kind: "none" }
  /** That they lead, one by one, to the newest revision at present. */
  | { readonly kind: "newest" }
  /** That they lead, one by one, to a revision that another entry told. */
  | { readonly kind: "reaches"; readonly revision: Revision };

/** Something for the shell to do. */
export type GatewayEffect =
  | { readonly kind: "send"; readonly attempt: CallAttempt }
  /** Answer to `commit`: write the request now, with this time left. */
  | {
    readonly kind: "proceed";
    readonly attempt: AttemptId;
    readonly timeLeft: Milliseconds;
  }
  | { readonly kind: "abort"; readonly attempt: AttemptId }
  /** Connect to an address and close at once; tell if nothing listens there. */
  | {
    readonly kind: "knock";
    readonly endpoint: EndpointId;
    readonly life: EndpointLife | undefined;
    readonly address: string;
  }
  /** Answer to `answered`: pass the answer on to the caller. */
  | { readonly kind: "forward"; readonly attempt: AttemptId }
  /** Answer to `answered`: its events go on where the former attempt broke off. */
  | { readonly kind: "goOn"; readonly attempt: AttemptId }
  | {
    readonly kind: "refuse";
    readonly request: RequestId;
    readonly refusal: CallRefusal;
  }
  /** The answer that has begun cannot be completed: end the caller's connection. */
  | { readonly kind: "breakOff"; readonly request: RequestId }
  | { readonly kind: "complete"; readonly request: RequestId }
  | {
    readonly kind: "datagram";
    readonly to: string;
    readonly message: FleetMessage;
  }
  /** Read everything, or what changed after a revision, waiting for that. */
  | {
    readonly kind: "readCatalogue";
    readonly proof: ReadProof;
    readonly after: Revision | undefined;
    readonly wait: Milliseconds;
    readonly timeout: Milliseconds;
  }
  | {
    readonly kind: "copyCatalogue";
    readonly address: string;
    readonly timeout: Milliseconds;
  }
  | {
    readonly kind: "log";
    readonly part: GatewayPart;
    readonly text: string;
    readonly fields: Readonly<Record<string, unknown>>;
  }
  /** Take no new connection, and close those that have no request. */
  | { readonly kind: "stopListening" }
  /** End the process once answers have left, within this time. */
  | { readonly kind: "exit"; readonly within: Milliseconds };

/** Where controllers put what the shell must do. */
export type GatewayEmit = (effect: GatewayEffect) => void;
