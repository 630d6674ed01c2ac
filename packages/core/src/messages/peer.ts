/**
 * Messages between entries. Ages and durations travel, clock readings never do.
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

/** Free capacity for one service in the sender's zone. */
export interface Spare {
  readonly service: ServiceId;
  /** Slots that could take a request now. */
  readonly slots: number;
  /** Estimated time to the first token of a new cold request. */
  readonly firstToken: Milliseconds;
}

/** Demand of one customer at one entry. */
export interface Demand {
  readonly customer: CustomerId;
  readonly requestsPerSecond: number;
}

/** All that an entry says of itself. Only the entry itself makes its record; others pass it on whole. */
export interface MemberRecord {
  readonly id: EntryId;
  readonly incarnation: Incarnation;
  /** Grows whenever anything else in the record changes. */
  readonly version: number;
  readonly zone: ZoneId;
  readonly region: RegionId;
  /** Where callers reach it. */
  readonly url: string;
  /** Where peers reach it. */
  readonly controlUrl: string;
  readonly state: MemberState;
  /** Current epoch of its owner token. */
  readonly epoch: number;
  /** Incarnations whose idempotency keys it owns: its own, and those handed over to it. */
  readonly owns: readonly Incarnation[];
}

/** A record with the beat that its entry had reached when it was passed on. */
export interface MemberCopy {
  readonly record: MemberRecord;
  readonly beat: number;
}

/**
 * How fresh a member is: an entry counts its own heartbeats, so that what is passed on shows its
 * freshness without a clock.
 */
export interface Freshness {
  readonly incarnation: Incarnation;
  readonly beat: number;
  readonly version: number;
}

/** A zone's free capacity and demand, as one of its delegates counted them. */
export interface ZoneNews {
  readonly zone: ZoneId;
  readonly region: RegionId;
  readonly issuer: Incarnation;
  readonly beat: number;
  readonly spare: readonly Spare[];
  /** Only told within the region. */
  readonly demand: readonly Demand[];
}

/** News that an endpoint leaves, passed on until everybody in the region has it. */
export interface LeavingNews {
  readonly endpoint: EndpointId;
}

/** One heartbeat. */
export interface Heartbeat {
  readonly deployment: string;
  readonly from: Freshness;
  /** Revision in force at the sender, 0 before the first. */
  readonly revision: Revision;
  /** Revision that the sender read and rejected, 0 without one. */
  readonly rejected: Revision;
  readonly demand: readonly Demand[];
  /** Other members: who has an older beat learns that they live. */
  readonly freshness: readonly Freshness[];
  /** Records that the receiver asked for, or does not know yet. */
  readonly records: readonly MemberCopy[];
  readonly news: readonly ZoneNews[];
  readonly leaving: readonly LeavingNews[];
}

/** Answer to a heartbeat. */
export interface HeartbeatReply {
  readonly from: Freshness;
  readonly revision: Revision;
  readonly rejected: Revision;
  /** The receiver's own record, to a sender that introduced itself. */
  readonly record: MemberRecord | undefined;
  /** Members of which the receiver has no record, or an old one. */
  readonly wanted: readonly Incarnation[];
  readonly leaving: readonly LeavingNews[];
}

/** The operators' text, whole or against a revision that the asker holds. */
export type ConfigurationCopy =
  | {
    readonly kind: "whole";
    readonly revision: Revision;
    readonly text: string;
  }
  | {
    readonly kind: "patch";
    readonly revision: Revision;
    readonly base: Revision;
    readonly patch: TextPatch;
  };

/** Answer of an endpoint to a non-repeatable call, as kept for a retry. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64, at most {@link MAX_STORED_ANSWER_BYTES} before encoding. */
  readonly body: string;
}

/** Larger answers are not kept, only that the call ran. */
export const MAX_STORED_ANSWER_BYTES = 16_384;

/** What the owner knows of a used key. */
export type Outcome =
  | { readonly kind: "ran"; readonly answer: StoredAnswer }
  /** It ran, and its answer was too large to keep. */
  | { readonly kind: "ran_unkept" }
  | { readonly kind: "unknown" };

/** A copy of an outcome for peers of the home region. */
export interface OutcomeCopy {
  readonly customer: CustomerId;
  readonly home: RegionId;
  readonly key: IdempotencyKey;
  readonly bodyDigest: string;
  readonly outcome: Outcome;
}

/** One used key in a hand-over. */
export interface UsedKey extends OutcomeCopy {
  readonly epoch: number;
}

/** The right to run keys of an incarnation, given up by the sender before it is sent. */
export interface HandOver {
  readonly owner: Incarnation;
  readonly epoch: number;
  /** How far into that epoch the sender was. */
  readonly epochAge: Milliseconds;
  readonly used: readonly UsedKey[];
}
