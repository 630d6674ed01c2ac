/**
 * What entries tell each other of endpoints that ended. Ages and durations travel, clock readings never do.
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
import type { RequestFingerprint } from "./fingerprint.ts";

/** A request of one entry that ran, or waited, at an endpoint when that ended. */
export interface CrashVictim extends RequestFingerprint {
  /** From the sending of its first copy there to the end. */
  readonly exposure: Milliseconds;
  /** Whether it was sent by itself, as it had been at several ends. */
  readonly trial: boolean;
}

/** The end of one life of an endpoint, as one entry saw it. */
export interface CrashReport {
  readonly endpoint: EndpointId;
  readonly life: EndpointLife | undefined;
  readonly service: ServiceId;
  readonly zone: ZoneId;
  readonly softwareVersion: string;
  /** Since the end. */
  readonly age: Milliseconds;
  /** Other endpoints of the service in its zone that took work then. */
  readonly others: number;
  readonly victims: readonly CrashVictim[];
}

/** A request that is sent to no endpoint. */
export interface HoldNotice {
  readonly content: ContentDigest;
  /** Whose requests are held, `undefined` for everybody's. */
  readonly caller: RequestFingerprint["caller"] | undefined;
  readonly service: ServiceId;
  /** Software versions of the endpoints that ended under it. */
  readonly versions: readonly string[];
  /** Other software that has answered it since: there it goes. */
  readonly mended: readonly string[];
  /** Times that it was held, this one included: a later hold takes the place of a former. */
  readonly term: number;
  /** Until it may be tried again. */
  readonly remaining: Milliseconds;
  /** Whether it is over: an endpoint has answered the request since, or an operator ended it. */
  readonly released: boolean;
}

/** A request that an endpoint has answered. */
export interface AnsweredRequest {
  readonly content: ContentDigest;
  readonly softwareVersion: string;
}

/** A request that an entry is about to try, or sends. */
export interface TriedRequest {
  readonly content: ContentDigest;
  readonly sent: boolean;
}

/** What one entry tells others at once. */
export interface QuarantineNews {
  readonly crashes: readonly CrashReport[];
  /** Requests known from crashes that an endpoint has answered since. */
  readonly answered: readonly AnsweredRequest[];
  /** Requests that were at several ends and that this entry tries, one at a time. */
  readonly tried: readonly TriedRequest[];
  readonly holds: readonly HoldNotice[];
}

/** No news: the base of messages that bring one kind of it. */
export const NOTHING_NEW: QuarantineNews = {
  crashes: [],
  answered: [],
  tried: [],
  holds: [],
};
