/**
 * The blackboard: state shared by the controllers, with one section for each of them. Each controller writes its
 * own section and reads the views of all others. The types allow nothing else.
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
  ServiceRevision,
  ZoneId,
} from "../ids/index.ts";
import type {
  CustomerDemand,
  ListedVm,
  LoadReport,
  MemberRecord,
  SpareCapacity,
  ZoneReport,
} from "../messages/index.ts";
import type { Deployment, TextFault } from "../text/index.ts";

/** Facts that an entry knows about itself from its settings. They never change. */
export interface EntryIdentity {
  readonly id: EntryId;
  readonly incarnation: Incarnation;
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly url: string;
  readonly controlUrl: string;
  /** Name that the operators' configuration must state. A configuration of another deployment is rejected. */
  readonly deployment: string;
  /** Control addresses of the peers to contact first. */
  readonly seeds: readonly string[];
  readonly heartbeatPeriod: Milliseconds;
  /** Duration of one epoch of owner tokens. */
  readonly epochLength: Milliseconds;
}

/** Written by the lifecycle controller. */
export interface LifecycleView {
  readonly startedAt: Instant;
  readonly lastLoopAt: Instant;
  readonly phase: "starting" | "ready" | "stopping" | "stopped";
  /** When the process last resumed after a pause. */
  readonly resumedAt: Instant | undefined;
  readonly pauses: number;
}

/** A configuration revision that was read and not accepted. */
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
  /** Highest revision that a live peer holds and this entry has neither accepted nor rejected. */
  readonly missingRevision: Revision | undefined;
  /** When the platform or a peer last confirmed the revision in force. */
  readonly confirmedAt: Instant | undefined;
  /** Whether requests that must not use an outdated configuration wait for a confirmation. */
  readonly unconfirmed: boolean;
  readonly platformReachable: boolean;
  /** Revision that the configuration service returned last, if it is older than the one in force. */
  readonly servedOlder: ServiceRevision | undefined;
  readonly platformReads: number;
}

/** Another entry, as known from heartbeats. */
export interface Member {
  readonly record: MemberRecord;
  readonly beat: number;
  /** Highest configuration revision that the entry is known to hold. */
  readonly revision: Revision;
  readonly demand: readonly CustomerDemand[];
  /** When an increase of its `beat` was last received. */
  readonly heardAt: Instant;
  readonly health: "live" | "suspect";
  /** When the entry was last heard again after a silence. */
  readonly liveSince: Instant;
}

/** Last known capacity and demand of another availability zone. */
export interface ZoneStatus {
  readonly news: ZoneReport;
  readonly heardAt: Instant;
  /** When the zone was heard again after a silence. Traffic to it is then increased slowly. */
  readonly liveSince: Instant;
}

/** Written by the membership controller. */
export interface MembershipView {
  readonly members: ReadonlyMap<Incarnation, Member>;
  /** Incarnations known to have ended, with the time at which this entry learned it. */
  readonly endedIncarnations: ReadonlyMap<Incarnation, Instant>;
  readonly zones: ReadonlyMap<ZoneId, ZoneStatus>;
  readonly beat: number;
}

/** Source of the information that an endpoint is leaving. */
export type LeavingSource = "vm_list" | "endpoint" | "peer";

/** One endpoint VM. */
export interface Endpoint {
  readonly vm: ListedVm;
  readonly state: "live" | "suspect" | "draining";
  readonly leaving: LeavingSource | undefined;
  readonly load: LoadReport | undefined;
  /** When the load was measured, calculated from the age in the report. */
  readonly loadAt: Instant | undefined;
  readonly lastPolledAt: Instant | undefined;
  readonly suspectUntil: Instant | undefined;
  /** Until when the endpoint wants no requests, as it stated by `Retry-After` when it refused one. */
  readonly restUntil: Instant | undefined;
  /** Start times of this entry's attempts in flight at the endpoint, by attempt. */
  readonly inFlight: ReadonlyMap<string, Instant>;
  /** Prefix blocks that are assumed to be in the endpoint's cache, with the time until which that is assumed. */
  readonly cachedBlocks: ReadonlyMap<number, Instant>;
}

/** Written by the endpoint controller. */
export interface EndpointsView {
  readonly endpoints: ReadonlyMap<EndpointId, Endpoint>;
  /** VMs that have left, with the time, so that an outdated VM list does not add them again. */
  readonly departed: ReadonlyMap<EndpointId, Instant>;
  readonly listedAt: Instant | undefined;
  /** Returns the endpoints of a service that this entry uses. If they are a subset, its own zone is preferred. */
  forService(service: ServiceId): readonly Endpoint[];
}

/** Written by the request controller. */
export interface RequestsView {
  readonly active: number;
  readonly queued: number;
  /** Number of actions that have started and not ended yet. */
  readonly runningActions: number;
  spare(now: Instant): readonly SpareCapacity[];
  demand(now: Instant): ReadonlyMap<CustomerId, number>;
}

/** Written by the action controller. */
export interface ActionsView {
  readonly usedKeys: number;
  readonly copies: number;
  readonly owns: readonly Incarnation[];
  epoch(now: Instant): number;
}

/** The views of all sections. */
export interface Blackboard {
  readonly self: EntryIdentity;
  readonly lifecycle: LifecycleView;
  readonly configuration: ConfigurationView;
  readonly membership: MembershipView;
  readonly endpoints: EndpointsView;
  readonly requests: RequestsView;
  readonly actions: ActionsView;
}

/** Makes the fields of a view writable, for the controller that owns the section. */
export type Writable<View> = { -readonly [Field in keyof View]: View[Field] };
