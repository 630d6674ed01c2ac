/**
 * State of one caller's request while this entry handles it.
 *
 * @module
 */
import {
  after,
  type AttemptId,
  type EndpointId,
  type Instant,
  type Milliseconds,
  milliseconds,
  type RegionId,
  type Revision,
  type ServiceId,
} from "../ids/index.ts";
import { type Customer, mayServeCustomer } from "../customers/index.ts";
import type { Permit } from "../endpoint_terms/index.ts";
import {
  type EndpointRecord,
  mayRepeat,
  mayServe,
  type Route,
} from "../routes/index.ts";
import type { CrashSubject } from "../quarantine/index.ts";
import { AttemptLog } from "../verdict/index.ts";
import { isSameOrigin, type StreamOrigin } from "../stream_origins/index.ts";
import { CallTrace } from "./call_trace.ts";
import type { GrantedRetry } from "./call_retries.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { CallHead, CallTarget } from "./messages.ts";
import { StreamPosition } from "./stream_position.ts";

/** Longest path, in characters, that is written to a log line. */
const MAX_PATH_LENGTH = 120;
const NO_VERSIONS: ReadonlySet<string> = new Set();

/** Stage of a request's processing. */
export type CallPhase =
  /** Queued until an endpoint has capacity. */
  | "waiting"
  /** An attempt is in progress, and nothing has been sent to the caller. */
  | "trying"
  /** The answer has begun and is passed on to the caller. */
  | "answering";

/** How an entry learned what began a stream. */
export type OriginSource =
  /** From the endpoint that answered. */
  | "endpoint"
  /** From the entry that relayed the request, or to which it was relayed. */
  | "relay"
  /** From its own records and the copies of others'. */
  | "record"
  /** From another entry, which it asked. */
  | "peer"
  /** The service has had no other version for as long as the stream can have lasted. */
  | "catalogue";

/** One attempt in progress, at an endpoint or at an entry of another region. */
export interface OpenAttempt {
  readonly id: AttemptId;
  readonly target: CallTarget;
  /** State of the endpoint, `undefined` for an attempt through a peer. */
  readonly state: EndpointState | undefined;
  /** What the endpoint's record stated when the attempt was made, `undefined` for an attempt through a peer. */
  readonly origin?: StreamOrigin | undefined;
  readonly createdAt: Instant;
  /** Permit for an endpoint that states a rate limit. */
  readonly permit: Permit | undefined;
  /** When the shell was allowed to write the request. */
  sentAt: Instant | undefined;
  /** When bytes last arrived, or reading resumed after backpressure. */
  heardAt: Instant | undefined;
  /** Since when the answer is not read because the caller's connection is full. */
  backpressureSince: Instant | undefined;
  /** The retry from the budget with which it was sent, `undefined` for a first attempt. */
  retry: GrantedRetry | undefined;
  /** Whether the answer's status reports a failure. */
  failed: boolean;
  /** Whether the answer's status reports a success. */
  succeeded: boolean;
  /** Bytes received of an event that is not complete yet. */
  partialEventBytes: number;
}

/** One request of a caller, from its admission to its end. */
export class Call {
  readonly head: CallHead;
  readonly route: Route;
  /** The customer that sent the request, `undefined` where the route needs no key. */
  readonly customer: Customer | undefined;
  /** Services that may run the request, starting with the one that was chosen by weight. */
  services: readonly ServiceId[];
  readonly arrivedAt: Instant;
  /** Time since the caller's first attempt when the request arrived, as far as it is known. */
  readonly age: Milliseconds;
  /** When the caller's timeout or the route's ends the request, whichever is shorter. */
  readonly endsAt: Instant;
  /** Version of the document by which the request was admitted. */
  readonly documentVersion: Revision | undefined;
  readonly log = new AttemptLog();
  readonly trace = new CallTrace();
  readonly triedEndpoints = new Set<EndpointId>();
  /** Endpoints in `triedEndpoints` to which no byte of the request was written. */
  readonly unreachedEndpoints = new Set<EndpointId>();
  phase: CallPhase = "waiting";
  attempt: OpenAttempt | undefined;
  attempts = 0;
  /** Attempts that an endpoint or a peer may have received. */
  sentAttempts = 0;
  /** Prompt tokens that no engine of the region had cached at the last placement. */
  uncachedTokens = 0;
  /** Endpoints that received or refused the request, through this entry or through peers. */
  offered = 0;
  /** How often an endpoint or a peer refused the request without running it. */
  rejections = 0;
  failedConnections = 0;
  /** How much of a stream the caller has received. */
  readonly position: StreamPosition;
  /** Whether the answer in progress is a stream of events. */
  isEventStream = false;
  /** Software versions of endpoints that must not run the request. */
  avoidedVersions: ReadonlySet<string> = NO_VERSIONS;
  /** What began the stream; from then on no other endpoint may run the request. */
  #origin: StreamOrigin | undefined;
  /** How this entry learned what began the stream. */
  originSource: OriginSource | undefined;
  /** Whether the request waits for the outcome of another that runs as a quarantine trial. */
  awaitsTrial = false;
  /** What the request contains that is quarantined. */
  held: readonly CrashSubject[] = [];
  /** Whether the request is sent as a quarantine trial. */
  isTrial = false;
  /** The retry that the budget has granted and that is not sent yet. */
  retry: GrantedRetry | undefined;
  /** Units charged against the customer's limit by this entry. */
  charged = 0;
  /** The caller has left, but the attempt continues because the request must not be retried. */
  orphaned = false;

  constructor(
    head: CallHead,
    { route, customer, services, arrivedAt, age, endsAt, documentVersion }: {
      route: Route;
      customer: Customer | undefined;
      services: readonly ServiceId[];
      arrivedAt: Instant;
      age?: Milliseconds;
      endsAt: Instant;
      documentVersion?: Revision | undefined;
    },
  ) {
    this.head = head;
    this.route = route;
    this.customer = customer;
    this.services = services;
    this.arrivedAt = arrivedAt;
    this.age = age ?? milliseconds(0);
    this.endsAt = endsAt;
    this.documentVersion = documentVersion;
    this.position = new StreamPosition(head.lastEventId);
  }

  get mayRetry(): boolean {
    return mayRepeat(this.route);
  }

  /** Rank of the request, 0 first. A customer's rank takes precedence over its route's. */
  get rank(): number {
    return this.customer?.rank ?? this.route.priority;
  }

  /** Whether a region may serve the request: the home regions of route and customer both restrict it. */
  mayServe(region: RegionId): boolean {
    return mayServe(this.route, region) &&
      mayServeCustomer(this.customer, region);
  }

  /**
   * Whether the request continues a stream that an earlier call or attempt began. The route may have become one without
   * resumption since, but endpoints still continue after the last event id.
   */
  get isResumption(): boolean {
    const { lastEventId, resumedCall, relay } = this.head;
    const isNamed = lastEventId !== undefined || resumedCall !== undefined;
    return relay?.origin !== undefined ||
      (this.route.kind === "stream" && isNamed);
  }

  /** What began the stream, `undefined` for one that has not begun or whose origin is not known. */
  get origin(): StreamOrigin | undefined {
    return this.#origin;
  }

  /** Restricts the request to endpoints of one origin. */
  bindOrigin(origin: StreamOrigin, source: OriginSource): void {
    this.#origin = origin;
    this.originSource = source;
    this.services = [origin.service];
  }

  /** Gives up the origin, so that the stream can't go on elsewhere. */
  dropOrigin(): void {
    this.#origin = undefined;
  }

  /** Whether an endpoint's software may run the request. */
  acceptsSoftware(
    { service, softwareVersion: version }: EndpointRecord,
  ): boolean {
    return !this.avoidedVersions.has(version) &&
      (this.#origin === undefined ||
        isSameOrigin(this.#origin, { service, version }));
  }

  /** Whether another endpoint can continue the stream after what the caller has received. */
  get resumable(): boolean {
    return this.route.resumable && this.isEventStream && this.position.known &&
      this.#origin !== undefined;
  }

  /** Upper bound of the endpoints that received the request, through this or other entries. */
  get possibleDeliveries(): number {
    return this.sentAttempts + (this.head.relay?.sentBefore ?? 0);
  }

  /** The request's path for log lines, without its query. */
  get path(): string {
    return this.head.target.split("?")[0]!.slice(0, MAX_PATH_LENGTH);
  }

  /** When the caller made its first attempt, as far as that is known. */
  get firstAttemptAt(): Instant {
    return after(this.arrivedAt, -this.age);
  }

  /** Whether the route's response time objective has passed. */
  isLate(now: Instant): boolean {
    return now - this.firstAttemptAt > this.route.objective;
  }
}
