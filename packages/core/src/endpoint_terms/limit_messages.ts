/**
 * Messages that the entries of a region exchange about endpoints' limits. They contain ages instead of timestamps,
 * since clocks of different machines are not comparable.
 *
 * @module
 */
import type {
  EndpointId,
  EndpointLife,
  Incarnation,
  Milliseconds,
} from "../ids/index.ts";

/** The known limit of one endpoint. */
export interface LimitNotice {
  readonly endpoint: EndpointId;
  /** The life (process start) of the endpoint that stated the limit. */
  readonly life: EndpointLife | undefined;
  /** Requests per second, `undefined` if the limit was lifted. */
  readonly perSecond: number | undefined;
  /** Time since the endpoint stated the limit. */
  readonly age: Milliseconds;
}

/** One datagram about limits. */
export interface LimitMessage {
  readonly kind:
    /** Announces limits; needs no reply. */
    | "notice"
    /** Requests a permit for each endpoint from its issuer. */
    | "ask"
    /** Grants a permit for each endpoint. */
    | "grant";
  readonly incarnation: Incarnation;
  readonly notices: readonly LimitNotice[];
}
