/**
 * One request of a caller on its way through this entry.
 *
 * @module
 */
import type {
  AttemptId,
  EndpointId,
  Instant,
  RegionId,
  ServiceId,
} from "../ids/index.ts";
import { type Customer, mayServeCustomer } from "../customers/index.ts";
import type { Permit } from "../endpoint_terms/index.ts";
import { mayRepeat, mayServe, type Route } from "../routes/index.ts";
import { AttemptLog } from "../verdict/index.ts";
import { CallTrace } from "./call_trace.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { CallHead, CallTarget } from "./messages.ts";
import { StreamPosition } from "./stream_position.ts";

/** Characters of a path in a line. */
const MOST_PATH_LENGTH = 120;
const NO_VERSIONS: ReadonlySet<string> = new Set();

/** Where a request stands. */
export type CallPhase =
  /** Waits for a place at an endpoint. */
  | "waiting"
  /** An attempt is under way, nothing has gone to the caller. */
  | "trying"
  /** The answer has begun. */
  | "answering";

/** One attempt under way. */
export interface OpenAttempt {
  readonly id: AttemptId;
  readonly target: CallTarget;
  /** `undefined` for an attempt by way of a peer. */
  readonly state: EndpointState | undefined;
  readonly madeAt: Instant;
  /** For an endpoint with a limit. */
  readonly permit: Permit | undefined;
  /** When it was allowed to be written. */
  sentAt: Instant | undefined;
  /** When bytes last came from it, or it was read again after it had been held back. */
  heardAt: Instant | undefined;
  /** Since when it is not read, because its caller has no room. */
  heldSince: Instant | undefined;
  /** Whether its answer says failure. */
  failed: boolean;
  /** Bytes that it sent of an event that is not whole yet. */
  unfinished: number;
}

/** One request. */
export class Call {
  readonly head: CallHead;
  readonly route: Route;
  /** Whose it is; `undefined` where it needs no key. */
  readonly customer: Customer | undefined;
  /** Services of the route, the one that the weights chose first. */
  readonly services: readonly ServiceId[];
  readonly arrivedAt: Instant;
  /** When the caller, or the route's timeout, ends it. */
  readonly endsAt: Instant;
  readonly log = new AttemptLog();
  readonly trace = new CallTrace();
  readonly tried = new Set<EndpointId>();
  /** Those of them that got no byte of it. */
  readonly unreached = new Set<EndpointId>();
  phase: CallPhase = "waiting";
  attempt: OpenAttempt | undefined;
  attempts = 0;
  /** Attempts that an endpoint or a peer got. */
  sent = 0;
  /** Prompt tokens that no engine of the region kept when a place was last looked for. */
  unread = 0;
  /** Endpoints that got it or turned it away, here or at peers. */
  offered = 0;
  /** Refusals by endpoints, and connections that failed. */
  rejections = 0;
  unsent = 0;
  /** What its caller has of a stream. */
  readonly position: StreamPosition;
  /** Whether the answer that has begun consists of events. */
  events = false;
  /** Software of endpoints that it must not go to. */
  avoidedVersions: ReadonlySet<string> = NO_VERSIONS;
  /** Whether it waits for the outcome of another copy's trial. */
  awaitsTrial = false;
  /** Units that it took of its customer's limit, here. */
  charged = 0;
  /** The caller has left; the attempt goes on because its call may not be repeated. */
  orphaned = false;

  constructor(
    head: CallHead,
    { route, customer, services, arrivedAt, endsAt }: {
      route: Route;
      customer: Customer | undefined;
      services: readonly ServiceId[];
      arrivedAt: Instant;
      endsAt: Instant;
    },
  ) {
    this.head = head;
    this.route = route;
    this.customer = customer;
    this.services = services;
    this.arrivedAt = arrivedAt;
    this.endsAt = endsAt;
    this.position = new StreamPosition(head.lastEventId);
  }

  get mayRepeat(): boolean {
    return mayRepeat(this.route);
  }

  /** 0 first. A customer's rank goes before its routes'. */
  get rank(): number {
    return this.customer?.rank ?? this.route.priority;
  }

  /** Whether it may be served in a region: homes of route and customer both bind. */
  mayServe(region: RegionId): boolean {
    return mayServe(this.route, region) &&
      mayServeCustomer(this.customer, region);
  }

  /** Whether what has gone to the caller may be followed by events of another endpoint. */
  get resumable(): boolean {
    return this.route.resumable && this.events && this.position.known;
  }

  /** Endpoints that may have got the request, through whichever entry. */
  get arrivals(): number {
    return this.sent + (this.head.relay?.sentBefore ?? 0);
  }

  /** Its path without the query, for operators. */
  get path(): string {
    return this.head.target.split("?")[0]!.slice(0, MOST_PATH_LENGTH);
  }

  /** Whether its objective has passed. */
  isLate(now: Instant): boolean {
    return now - this.arrivedAt > this.route.objective;
  }
}
