/**
 * Datagrams that entries exchange about membership, load and shared state. They carry ages, never clock
 * readings.
 *
 * @module
 */
import type { SpendingMessage } from "../customers/index.ts";
import type { DemandReport } from "../demand/index.ts";
import type {
  DepartureMessage,
  LimitMessage,
} from "../endpoint_terms/index.ts";
import {
  type EndpointId,
  type EndpointLife,
  type EntryId,
  type Incarnation,
  type Milliseconds,
  milliseconds,
  type RegionId,
  type Revision,
  type ServiceId,
  type ZoneId,
} from "../ids/index.ts";
import type { RegionOutlook } from "../outlook/index.ts";
import type { HoldNotice, QuarantineUpdate } from "../quarantine/index.ts";
import type { OriginMessage } from "../stream_origins/index.ts";
import type { RetryLoanMessage } from "../retries/index.ts";
import type { CataloguePosition, FreshnessMessage } from "../routes/index.ts";
import type { CensusReport } from "./entry_census.ts";

/** Whether an entry takes new requests. */
export type EntryState =
  | "starting"
  | "ready"
  /** Its data is so old that callers should prefer other entries; it still serves what it may. */
  | "outdated"
  | "stopping";

/** An entry's description of itself. Only the entry itself creates new versions. */
export interface EntryRecord {
  readonly id: EntryId;
  readonly incarnation: Incarnation;
  /** Increases with each change, and whenever the entry refutes a suspicion. */
  readonly version: number;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Host and port for callers. */
  readonly callerAddress: string;
  /** Host and port for peers, used for both datagrams and connections. */
  readonly peerAddress: string;
  readonly state: EntryState;
  /** Capacity relative to other entries. */
  readonly weight: number;
}

/** An entry's view of whether another entry is alive. */
export type MemberHealth = "live" | "suspect" | "dead";

/** A record and the health that the sender assigns to it, as spread by gossip. */
export interface MemberUpdate {
  readonly record: EntryRecord;
  readonly health: MemberHealth;
}

/** Load of one service in one region. */
export interface ServiceLoad {
  readonly service: ServiceId;
  /** Endpoints that accept new work. */
  readonly endpoints: number;
  /** Work that arrived in the last second, in endpoint milliseconds. */
  readonly work: number;
  /** Requests that arrived in the last second. */
  readonly requests: number;
  /** Queued work, in milliseconds per endpoint. */
  readonly backlog: Milliseconds;
  /**
   * Time until the first endpoint accepts work again, where all have asked for a time without requests;
   * `NO_RETURN_MS` where all are leaving. `undefined` where that is not known, or while endpoints accept work.
   */
  readonly closedFor?: Milliseconds | undefined;
}

/** Value of `closedFor` where no endpoint is going to accept work again. */
export const NO_RETURN_MS = milliseconds(3_600_000);

/** A region's load, and the shares of its callers that it directs to other regions. */
export interface RegionSummary {
  readonly region: RegionId;
  /** Time since it was measured. */
  readonly age: Milliseconds;
  readonly loads: readonly ServiceLoad[];
  /** Shares of the region's callers that are given entries of another region. */
  readonly shares: readonly RegionShare[];
}

/** Fraction of the callers, 0 to 1, that is directed to a region. */
export interface RegionShare {
  readonly region: RegionId;
  readonly share: number;
}

/** Versions of the shared data that an entry holds. */
export interface HeldVersions {
  /** Version of the routing document. */
  readonly document: Revision;
  /** Position of the catalogue, which holds everything that is published. */
  readonly catalogue: CataloguePosition;
}

/** What one entry has in flight at one endpoint. */
export interface EndpointWork {
  readonly endpoint: EndpointId;
  /** Life of the endpoint that the requests were sent to. */
  readonly life: EndpointLife | undefined;
  /** Prompt tokens of requests that have not yet produced a first event. */
  readonly prefill: number;
  /** Requests in flight. */
  readonly requests: number;
  /** Tokens of these requests that occupy the engine's cache. */
  readonly tokens: number;
}

/** A prompt prefix that was just sent to an endpoint. */
export interface PrefixUpdate {
  readonly endpoint: EndpointId;
  readonly life: EndpointLife | undefined;
  /** Shareable parts of the prompt, in order. */
  readonly parts: readonly PromptPart[];
}

/** A part of a prompt that several requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** One entry's work, reported to the entries of its region. */
export interface WorkReport {
  /** Whether only changes are listed. Otherwise an endpoint that is not listed has no work. */
  readonly partial: boolean;
  readonly endpoints: readonly EndpointWork[];
  readonly prefixes: readonly PrefixUpdate[];
  /** Work that arrived at this entry in the last second, by service. */
  readonly arrivals: readonly ServiceArrivals[];
  /** Hash of the sender's catalogue, by which entries that rarely read it notice a change. */
  readonly picture: number;
}

/** Work for one service that arrived at an entry. */
export interface ServiceArrivals {
  readonly service: ServiceId;
  /** In endpoint milliseconds, within the last second. */
  readonly work: number;
  /** Number of requests within the last second. */
  readonly requests: number;
}

/** How fast an engine has to generate so that the answers that run there for one entry are complete in time. */
export interface EndpointPressure {
  readonly endpoint: EndpointId;
  readonly life: EndpointLife | undefined;
  /** The rate that the most demanding answer needs, relative to the engine's present one. */
  readonly pressure: number;
}

/** What an endpoint said of itself in a health check. */
export interface ColdReport {
  readonly endpoint: EndpointId;
  readonly life: EndpointLife | undefined;
  /** How long it stays cold. */
  readonly coldFor: Milliseconds;
}

interface FleetMessageBase {
  readonly from: EntryRecord;
  readonly holdings: HeldVersions;
}

/** A datagram between entries. */
export type FleetMessage =
  /** Requests an `ack`. */
  | FleetMessageBase & FleetGossip & {
    readonly kind: "ping";
    readonly sequence: number;
  }
  | FleetMessageBase & FleetGossip & {
    readonly kind: "ack";
    readonly sequence: number;
  }
  /** Asks the receiver to ping the target on behalf of the sender. */
  | FleetMessageBase & {
    readonly kind: "indirect";
    readonly sequence: number;
    readonly target: string;
  }
  /** The target of an `indirect` has answered. */
  | FleetMessageBase & {
    readonly kind: "indirect_ack";
    readonly sequence: number;
  }
  /** The sender changed its state. Not answered. */
  | FleetMessageBase & { readonly kind: "announce" }
  /** Sent often, so it carries the sender's incarnation instead of its full record. */
  | {
    readonly kind: "work";
    readonly incarnation: Incarnation;
    readonly report: WorkReport;
  }
  /** What answers in progress need. An engine that is not listed has no need that limits others. */
  | {
    readonly kind: "pressures";
    readonly incarnation: Incarnation;
    readonly pressures: readonly EndpointPressure[];
  }
  /** Endpoint crashes, and requests that are held back because of them. */
  | {
    readonly kind: "quarantine";
    readonly incarnation: Incarnation;
    readonly news: QuarantineUpdate;
  }
  /** Queries and answers about how up to date an entry's catalogue is. */
  | { readonly kind: "currency"; readonly message: FreshnessMessage }
  /** Usage of customers' limits. */
  | { readonly kind: "spending"; readonly message: SpendingMessage }
  /** Limits that endpoints stated, and permits to send to these endpoints. */
  | { readonly kind: "limits"; readonly message: LimitMessage }
  /** Endpoints that are about to shut down. */
  | { readonly kind: "departures"; readonly message: DepartureMessage }
  /** Endpoints that said in health checks that they are cold. */
  | { readonly kind: "cold"; readonly reports: readonly ColdReport[] }
  /** What waits at an entry of the region, and what it sent to endpoints. */
  | {
    readonly kind: "demand";
    readonly incarnation: Incarnation;
    readonly report: DemandReport;
  }
  /** How soon another region would begin a request. */
  | { readonly kind: "outlook"; readonly outlook: RegionOutlook }
  /** Which software versions began streams. */
  | { readonly kind: "origins"; readonly message: OriginMessage }
  /** Retries that entries of a region ask each other for and lend. */
  | { readonly kind: "retries"; readonly message: RetryLoanMessage }
  /** How many entries the recipient's region may have. */
  | { readonly kind: "census"; readonly report: CensusReport };

type MessageBody<Message> = Message extends { readonly from: EntryRecord }
  ? Omit<Message, "from" | "holdings">
  : never;
/** A message without the sender's record and holdings, which are added when it is sent. */
export type FleetMessageBody = MessageBody<FleetMessage>;

/** Data piggybacked on pings and acks. */
export interface FleetGossip {
  readonly news: readonly MemberUpdate[];
  readonly regions: readonly RegionSummary[];
  /** Requests that are held back. Entries that restarted or were partitioned learn of them this way. */
  readonly holds: readonly HoldNotice[];
}
