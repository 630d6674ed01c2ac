/**
 * What the entries of a region tell each other of endpoints' limits. Ages travel, clock readings never do.
 *
 * @module
 */
import type {
  EndpointId,
  EndpointLife,
  Incarnation,
  Milliseconds,
} from "../ids/index.ts";

/** What is known of one endpoint's limit. */
export interface LimitNotice {
  readonly endpoint: EndpointId;
  /** The life of the endpoint that stated it. */
  readonly life: EndpointLife | undefined;
  /** Requests a second, `undefined` where the limit was lifted. */
  readonly perSecond: number | undefined;
  /** Since the endpoint stated it. */
  readonly age: Milliseconds;
}

/** One datagram about limits. */
export interface LimitMessage {
  readonly kind:
    /** Wants nothing back. */
    | "notice"
    /** Asks the issuer for a permit of each endpoint. */
    | "ask"
    /** Brings a permit of each endpoint. */
    | "grant";
  readonly incarnation: Incarnation;
  readonly notices: readonly LimitNotice[];
}
