/**
 * Messages between entries about crashes of endpoints. They contain ages and durations, never clock readings.
 *
 * @module
 */
import type {
  CallerDigest,
  EndpointId,
  EndpointLife,
  Milliseconds,
  ServiceId,
  ZoneId,
} from "../ids/index.ts";
import type { CrashSubject } from "./subject.ts";

/** What the requests in progress at an endpoint, running or queued, had when the endpoint crashed. */
export interface SubjectAtCrash {
  readonly subject: CrashSubject;
  /** The caller of a request, `ANY_CALLER` for a part. */
  readonly caller: CallerDigest;
  /** Longest time to the crash of the requests with it: since their answers began, or else since they were sent. */
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
  readonly victims: readonly SubjectAtCrash[];
}

/** A hold on a request, or on all requests with some part: they are sent to no endpoint. */
export interface HoldNotice {
  readonly subject: CrashSubject;
  /** The caller whose requests are held, `undefined` for all callers. */
  readonly caller: CallerDigest | undefined;
  readonly service: ServiceId;
  /** Software versions of the endpoints that it crashed. */
  readonly versions: readonly string[];
  /** Other software versions that answered it since. It may be sent to them. */
  readonly mended: readonly string[];
  /**
   * Number of times that it was held, including this one. A hold with a higher number replaces an
   * older one.
   */
  readonly term: number;
  /** Time until it may be tried again. */
  readonly remaining: Milliseconds;
  /** Whether the hold is over, because an endpoint answered it or an operator released it. */
  readonly released: boolean;
}

/** What a request had that an endpoint answered. */
export interface AnsweredSubject {
  readonly subject: CrashSubject;
  readonly softwareVersion: string;
}

/** A suspect of which an entry claims the next trial, or sends a request with it as one. */
export interface TriedSubject {
  readonly subject: CrashSubject;
  readonly sent: boolean;
}

/** One message to other entries. */
export interface QuarantineUpdate {
  readonly crashes: readonly CrashReport[];
  /** Subjects of earlier crashes that an endpoint answered since. */
  readonly answered: readonly AnsweredSubject[];
  /** Subjects of several crashes, for which the sender claims or starts a trial. */
  readonly tried: readonly TriedSubject[];
  /** Endpoints to which the sender sent trials, which may crash them. */
  readonly onTrial: readonly EndpointId[];
  readonly holds: readonly HoldNotice[];
}

/** A message without content, to which senders add the part they need. */
export const EMPTY_QUARANTINE_UPDATE: QuarantineUpdate = {
  crashes: [],
  answered: [],
  tried: [],
  onTrial: [],
  holds: [],
};
