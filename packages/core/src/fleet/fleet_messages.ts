/**
 * Datagrams by which entries find and lose each other. Ages travel, clock readings never do.
 *
 * @module
 */
import type { SpendingMessage } from "../customers/index.ts";
import type {
  DepartureMessage,
  LimitMessage,
} from "../endpoint_terms/index.ts";
import type {
  EndpointId,
  EndpointLife,
  EntryId,
  Incarnation,
  Milliseconds,
  RegionId,
  Revision,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";
import type { HoldNotice, QuarantineNews } from "../quarantine/index.ts";
import type { CataloguePosition, CurrencyMessage } from "../routes/index.ts";

/** Whether an entry takes new requests. */
export type FleetState =
  | "starting"
  | "ready"
  /** What it holds is so old that callers had better go elsewhere; it serves what it may. */
  | "outdated"
  | "stopping";

/** All that an entry says of itself. Only the entry itself makes a new version. */
export interface FleetRecord {
  readonly id: EntryId;
  readonly incarnation: Incarnation;
  /** Grows with each change, and whenever the entry is wrongly held for lost. */
  readonly version: number;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Host and port where callers reach it. */
  readonly callerAddress: string;
  /** Host and port of its datagrams and of its address for peers. */
  readonly peerAddress: string;
  readonly state: FleetState;
  /** What it can carry, relative to other entries. */
  readonly weight: number;
}

/** What an entry thinks of another. */
export type FleetHealth = "live" | "suspect" | "dead";

/** A record with the teller's opinion, as it is passed on. */
export interface FleetNews {
  readonly record: FleetRecord;
  readonly health: FleetHealth;
}

/** Load of one service in one region. */
export interface ServiceLoad {
  readonly service: ServiceId;
  /** Endpoints that take new work. */
  readonly endpoints: number;
  /** Work that arrived in the last second, in endpoint milliseconds. */
  readonly work: number;
  /** Requests that arrived in the last second. */
  readonly requests: number;
  /** Work that waits, in milliseconds an endpoint. */
  readonly backlog: Milliseconds;
}

/** A region's load and where its entries send their callers. */
export interface RegionSummary {
  readonly region: RegionId;
  /** Since it was counted. */
  readonly age: Milliseconds;
  readonly loads: readonly ServiceLoad[];
  /** Parts of the region's callers that are named entries of another region. */
  readonly shares: readonly RegionShare[];
}

/** Part of the callers, 0 to 1, that is sent to a region. */
export interface RegionShare {
  readonly region: RegionId;
  readonly share: number;
}

/** What an entry holds. */
export interface Holdings {
  /** Version of the operators' document. */
  readonly document: Revision;
  /** Of everything published. */
  readonly catalogue: CataloguePosition;
}

/** What one entry has in flight at one endpoint. */
export interface EndpointWork {
  readonly endpoint: EndpointId;
  /** The life of the endpoint that this is in flight at. */
  readonly life: EndpointLife | undefined;
  /** Prompt tokens sent and not yet answered by a first event. */
  readonly prefill: number;
  /** Requests sent and not ended. */
  readonly requests: number;
  /** Tokens of these requests that lie in the engine's memory. */
  readonly tokens: number;
}

/** Prompt prefixes that an endpoint was just given to read. */
export interface PrefixNews {
  readonly endpoint: EndpointId;
  readonly life: EndpointLife | undefined;
  /** Ids of the shared parts, in order, each with its tokens. */
  readonly parts: readonly PromptPart[];
}

/** One part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Work of one entry, told to the entries of its region. */
export interface WorkReport {
  /** Whether only what changed is named; otherwise all that is not named is nothing. */
  readonly partial: boolean;
  readonly endpoints: readonly EndpointWork[];
  readonly prefixes: readonly PrefixNews[];
  /** Work that arrived here in the last second, in endpoint milliseconds. */
  readonly arrivals: readonly ServiceArrivals[];
  /** Of the sender's published picture: tells those that read it seldom that it has changed. */
  readonly picture: number;
}

/** Work that one entry got for a service. */
export interface ServiceArrivals {
  readonly service: ServiceId;
  /** Endpoint milliseconds in the last second. */
  readonly work: number;
  /** Requests in the last second. */
  readonly requests: number;
}

interface FleetMessageBase {
  readonly from: FleetRecord;
  readonly holdings: Holdings;
}

/** One datagram. */
export type FleetMessage =
  /** Asks for an `ack`. */
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
  /** The sender changed its state. Wants no answer. */
  | FleetMessageBase & { readonly kind: "announce" }
  /** Told often, so it names its sender only. */
  | {
    readonly kind: "work";
    readonly incarnation: Incarnation;
    readonly report: WorkReport;
  }
  /** Ends of endpoints, and requests that are held back for them. */
  | {
    readonly kind: "quarantine";
    readonly incarnation: Incarnation;
    readonly news: QuarantineNews;
  }
  /** How current the document is that an entry holds. */
  | { readonly kind: "currency"; readonly message: CurrencyMessage }
  /** What customers use. */
  | { readonly kind: "spending"; readonly message: SpendingMessage }
  /** Limits that endpoints stated, and permits to send to them. */
  | { readonly kind: "limits"; readonly message: LimitMessage }
  /** Endpoints that leave. */
  | { readonly kind: "departures"; readonly message: DepartureMessage };

type Body<Message> = Message extends { readonly from: FleetRecord }
  ? Omit<Message, "from" | "holdings">
  : never;
/** A datagram without what each of its sender's begins with. */
export type FleetMessageBody = Body<FleetMessage>;

/** What pings and acks carry beside their purpose. */
export interface FleetGossip {
  readonly news: readonly FleetNews[];
  readonly regions: readonly RegionSummary[];
  /** Requests that are held back: who starts anew, or was cut off, learns of them so. */
  readonly holds: readonly HoldNotice[];
}
