/**
 * Messages between entries about crashes of endpoints. They contain ages and durations, never clock readings.
 *
 * @module
 */
import type {
  ContentDigest,
  EndpointId,
  EndpointLife,
  Milliseconds,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";
import type { RepetitionDigests } from "./fingerprint.ts";

/** A request that an entry had in progress at an endpoint, running or queued, when the endpoint crashed. */
export interface RequestAtCrash extends RepetitionDigests {
  /** Time from the sending of its first copy there to the crash. */
  readonly exposure: Milliseconds;
  /** Whether it was sent as a trial, because it was present at several crashes. */
  readonly trial: boolean;
}

/** A crash of one life of an endpoint, as one entry saw it. */
export interface CrashReport {
  readonly endpoint: EndpointId;
  readonly life: EndpointLife | undefined;
  readonly service: ServiceId;
  readonly zone: ZoneId;
  readonly softwareVersion: string;
  /** Time since the crash. */
  readonly age: Milliseconds;
  /** Number of other endpoints of the same service and zone that accepted requests at that time. */
  readonly others: number;
  readonly victims: readonly RequestAtCrash[];
}

/** A hold on a request, which is then sent to no endpoint. */
export interface HoldNotice {
  readonly content: ContentDigest;
  /** The caller whose requests are held, `undefined` for all callers. */
  readonly caller: RepetitionDigests["caller"] | undefined;
  readonly service: ServiceId;
  /** Software versions of the endpoints that the request crashed. */
  readonly versions: readonly string[];
  /** Other software versions that answered the request since. It may be sent to them. */
  readonly mended: readonly string[];
  /**
   * Number of times that the request was held, including this one. A hold with a higher number replaces an
   * older one.
   */
  readonly term: number;
  /** Time until the request may be tried again. */
  readonly remaining: Milliseconds;
  /** Whether the hold is over, because an endpoint answered the request or an operator released it. */
  readonly released: boolean;
}

/** A request that an endpoint answered. */
export interface AnsweredRequest {
  readonly content: ContentDigest;
  readonly softwareVersion: string;
}

/** A request of which an entry claims the next trial, or sends a copy as one. */
export interface TriedRequest {
  readonly content: ContentDigest;
  readonly sent: boolean;
}

/** One message to other entries. */
export interface QuarantineUpdate {
  readonly crashes: readonly CrashReport[];
  /** Requests lost in earlier crashes that an endpoint answered since. */
  readonly answered: readonly AnsweredRequest[];
  /** Requests present at several crashes, for which the sender claims or starts a trial. */
  readonly tried: readonly TriedRequest[];
  readonly holds: readonly HoldNotice[];
}

/** A message without content, to which senders add the part they need. */
export const EMPTY_QUARANTINE_UPDATE: QuarantineUpdate = {
  crashes: [],
  answered: [],
  tried: [],
  holds: [],
};
