/**
 * Messages between entries. They contain ages and durations, never clock readings.
 *
 * @module
 */
import type {
  CustomerId,
  EndpointId,
  EntryId,
  IdempotencyKey,
  Incarnation,
  Milliseconds,
  RegionId,
  Revision,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";
import type { TextPatch } from "../text/index.ts";

/** Whether an entry takes new requests. */
export type MemberState = "starting" | "ready" | "stopping";

/** Spare capacity for one service in the sender's zone. */
export interface SpareCapacity {
  readonly service: ServiceId;
  /** Number of slots that could take a request now. */
  readonly slots: number;
  /** Estimated time to the first token of a new request without a cached prefix. */
  readonly firstToken: Milliseconds;
}

/** Demand of one customer at one entry. */
export interface CustomerDemand {
  readonly customer: CustomerId;
  readonly requestsPerSecond: number;
}

/** Description of an entry, created by the entry itself and passed on unchanged by others. */
export interface MemberRecord {
  readonly id: EntryId;
  readonly incarnation: Incarnation;
  /** Incremented whenever anything else in the record changes. */
  readonly version: number;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** URL for callers. */
  readonly url: string;
  /** URL for peers. */
  readonly controlUrl: string;
  readonly state: MemberState;
  /** Current epoch of the entry's owner token. */
  readonly epoch: number;
  /** Incarnations whose idempotency keys the entry owns: its own, and those handed over to it. */
  readonly owns: readonly Incarnation[];
}

/** A record with the last known `beat` of its entry. */
export interface RelayedMemberRecord {
  readonly record: MemberRecord;
  readonly beat: number;
}

/**
 * Freshness of the data about a member. Each entry counts its own heartbeats in `beat`, so that the age of data
 * that is passed on can be compared without clocks.
 */
export interface MemberFreshness {
  readonly incarnation: Incarnation;
  readonly beat: number;
  readonly version: number;
}

/** Spare capacity and demand of a zone, as reported by one of its delegates. */
export interface ZoneReport {
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly issuer: Incarnation;
  readonly beat: number;
  readonly spare: readonly SpareCapacity[];
  /** Sent within the region only. */
  readonly demand: readonly CustomerDemand[];
}

/** Message that an endpoint is leaving, passed on until all entries of the region have it. */
export interface LeavingNotice {
  readonly endpoint: EndpointId;
}

/** One heartbeat. */
export interface Heartbeat {
  readonly deployment: string;
  readonly from: MemberFreshness;
  /** Revision in force at the sender, 0 before the first. */
  readonly revision: Revision;
  /** Revision that the sender read and rejected, 0 without one. */
  readonly rejected: Revision;
  readonly demand: readonly CustomerDemand[];
  /** Freshness of other members. A receiver with an older `beat` learns that they are alive. */
  readonly freshness: readonly MemberFreshness[];
  /** Records that the receiver requested or does not know yet. */
  readonly records: readonly RelayedMemberRecord[];
  readonly news: readonly ZoneReport[];
  readonly leaving: readonly LeavingNotice[];
}

/** Answer to a heartbeat. */
export interface HeartbeatReply {
  readonly from: MemberFreshness;
  readonly revision: Revision;
  readonly rejected: Revision;
  /** Own record of the replying entry, sent to a sender that sent its own. */
  readonly record: MemberRecord | undefined;
  /** Members of which the replying entry has no record or an outdated one. */
  readonly wanted: readonly Incarnation[];
  readonly leaving: readonly LeavingNotice[];
}

/** A text that was adopted or rejected under a revision. */
export interface KnownText {
  readonly revision: Revision;
  readonly digest: string;
}

/** The operators' configuration, as a whole or as a patch to a revision that the requesting entry holds. */
export type ConfigurationCopy =
  | {
    readonly kind: "whole";
    readonly revision: Revision;
    readonly text: string;
    /** Texts that came before, by which an outdated answer of the configuration service is recognized. */
    readonly history?: readonly KnownText[];
  }
  | {
    readonly kind: "patch";
    readonly revision: Revision;
    readonly base: Revision;
    readonly patch: TextPatch;
  };

/** Answer of an endpoint. Answers to non-repeatable calls are kept for retries in this form. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64, at most {@link MAX_STORED_ANSWER_BYTES} before encoding. */
  readonly body: string;
}

/** Maximum size of a kept answer. For larger ones, only the fact that the call ran is kept. */
export const MAX_STORED_ANSWER_BYTES = 16_384;

/** Outcome of a used key, as known by its owner. */
export type ActionOutcome =
  | { readonly kind: "ran"; readonly answer: StoredAnswer }
  /** The call ran, and its answer was too large to keep. */
  | { readonly kind: "ran_unkept" }
  | { readonly kind: "unknown" };

/** Copy of an outcome for peers of the home region. */
export interface OutcomeCopy {
  readonly customer: CustomerId;
  readonly home: RegionId;
  readonly key: IdempotencyKey;
  readonly bodyDigest: string;
  readonly outcome: ActionOutcome;
}

/** One used key in a hand-over. */
export interface UsedKey extends OutcomeCopy {
  readonly epoch: number;
}

/** Transfer of the right to run an incarnation's keys. The sender gives up the right before sending it. */
export interface KeyHandOver {
  readonly owner: Incarnation;
  readonly epoch: number;
  /** Time since that epoch began. */
  readonly epochAge: Milliseconds;
  readonly used: readonly UsedKey[];
}
