/**
 * The blackboard: one section a controller. Each controller writes its own section and reads the
 * views of all others; the types allow nothing else.
 *
 * @module
 */
import type {
  CustomerId,
  EndpointId,
  EntryId,
  Incarnation,
  Instant,
  Milliseconds,
  RegionId,
  Revision,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";
import type {
  Demand,
  ListedVm,
  LoadReport,
  MemberRecord,
  Spare,
  ZoneNews,
} from "../messages/index.ts";
import type { Deployment, TextFault } from "../text/index.ts";

/** What an entry knows of itself from its settings. Never changes. */
export interface Self {
  readonly id: EntryId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly url: string;
  readonly controlUrl: string;
  /** Name that the text must carry; a text of another deployment is rejected. */
  readonly deployment: string;
  /** Peers' control addresses to begin with. */
  readonly seeds: readonly string[];
  readonly heartbeatPeriod: Milliseconds;
  /** Time after which an owner token's epoch ends. */
  readonly epochLength: Milliseconds;
}

/** Written by the lifecycle controller. */
export interface LifecycleView {
  readonly startedAt: Instant;
  readonly lastLoopAt: Instant;
  readonly phase: "starting" | "ready" | "stopping" | "stopped";
  /** When the process last woke from a pause. */
  readonly wokeAt: Instant | undefined;
  readonly pauses: number;
}

/** A revision that was read and not accepted. */
export interface RejectedRevision {
  readonly revision: Revision;
  readonly faults: readonly TextFault[];
}

/** Written by the configuration controller. */
export interface ConfigurationView {
  readonly revision: Revision;
  readonly text: string;
  readonly deployment: Deployment | undefined;
  readonly rejected: RejectedRevision | undefined;
  /** Highest revision that a live peer holds and this entry neither holds nor rejected. */
  readonly missing: Revision | undefined;
  /** When the platform or a peer last agreed with the revision in force. */
  readonly confirmedAt: Instant | undefined;
  /** Whether requests that must not go wrong wait for a confirmation. */
  readonly unconfirmed: boolean;
  readonly platformReachable: boolean;
  readonly platformReads: number;
}

/** One other entry. */
export interface Member {
  readonly record: MemberRecord;
  readonly beat: number;
  /** Highest revision that it was heard to hold. */
  readonly revision: Revision;
  readonly demand: readonly Demand[];
  /** When its beat was last seen to grow. */
  readonly heardAt: Instant;
  readonly health: "live" | "suspect";
  /** When it last came back after having been unheard. */
  readonly liveSince: Instant;
}

/** What is known of another availability zone's capacity and demand. */
export interface KnownZone {
  readonly news: ZoneNews;
  readonly heardAt: Instant;
  /** When it came back after having been unheard, for a slow start. */
  readonly liveSince: Instant;
}

/** Written by the membership controller. */
export interface MembershipView {
  readonly members: ReadonlyMap<Incarnation, Member>;
  /** Incarnations known to have ended, with the time of learning. */
  readonly gone: ReadonlyMap<Incarnation, Instant>;
  readonly zones: ReadonlyMap<ZoneId, KnownZone>;
  readonly beat: number;
}

/** Why no new work goes to an endpoint. */
export type LeavingSource = "vm_list" | "endpoint" | "peer";

/** One endpoint VM. */
export interface Endpoint {
  readonly vm: ListedVm;
  readonly state: "live" | "suspect" | "draining";
  readonly leaving: LeavingSource | undefined;
  readonly load: LoadReport | undefined;
  /** When the load was measured, as told by its age. */
  readonly loadAt: Instant | undefined;
  readonly lastPolledAt: Instant | undefined;
  readonly suspectUntil: Instant | undefined;
  /** Until when it wants no requests, as it said when it turned one away. */
  readonly restsUntil: Instant | undefined;
  /** Start times of this entry's attempts in flight there. */
  readonly inFlight: ReadonlyMap<string, Instant>;
  /** Prefix blocks thought to be in its cache, with the end of the belief. */
  readonly cachedBlocks: ReadonlyMap<number, Instant>;
}

/** Written by the endpoint controller. */
export interface EndpointsView {
  readonly endpoints: ReadonlyMap<EndpointId, Endpoint>;
  /** VMs that left, so that a stale list does not bring them back. */
  readonly departed: ReadonlyMap<EndpointId, Instant>;
  readonly listedAt: Instant | undefined;
  /** Endpoints of a service in a region, its own availability zone first. */
  of(service: ServiceId): readonly Endpoint[];
}

/** Written by the request controller. */
export interface RequestsView {
  readonly active: number;
  readonly queued: number;
  /** Actions that were sent and have no end yet. */
  readonly runningActions: number;
  spare(now: Instant): readonly Spare[];
  demand(now: Instant): ReadonlyMap<CustomerId, number>;
}

/** Written by the action controller. */
export interface ActionsView {
  readonly usedKeys: number;
  readonly copies: number;
  readonly owns: readonly Incarnation[];
  epoch(now: Instant): number;
}

/** All views. */
export interface Blackboard {
  readonly self: Self;
  readonly lifecycle: LifecycleView;
  readonly configuration: ConfigurationView;
  readonly membership: MembershipView;
  readonly endpoints: EndpointsView;
  readonly requests: RequestsView;
  readonly actions: ActionsView;
}

/** Takes `readonly` off the fields of a view, for the one controller that writes the section. */
export type Writable<View> = { -readonly [Field in keyof View]: View[Field] };
