/**
 * Messages in which entries exchange the origins of streams.
 *
 * @module
 */
import type { Incarnation, Milliseconds, StreamKey } from "../ids/index.ts";
import type { StreamOrigin } from "./stream_origin.ts";

/** Streams of one origin. */
export interface OriginGroup {
  /** `undefined` if the origin is not known or in doubt, so that the streams must not be continued. */
  readonly origin: StreamOrigin | undefined;
  /** Orders the records of one stream. */
  readonly revision: number;
  /** Time for which the longest of the streams may still be taken up. */
  readonly lifetime: Milliseconds;
  readonly keys: readonly StreamKey[];
}

/** A datagram about origins of streams. */
export type OriginMessage =
  /** Streams that the sender began or took over. The receiver keeps a copy. */
  | {
    readonly kind: "records";
    readonly from: Incarnation;
    readonly groups: readonly OriginGroup[];
    /** Where to confirm the receipt; `undefined` if no confirmation is wanted. */
    readonly confirmTo: string | undefined;
  }
  /** The sender keeps the records that it was sent. */
  | { readonly kind: "confirmed"; readonly from: Incarnation }
  /** Asks for the origins of streams. */
  | {
    readonly kind: "query";
    readonly replyTo: string;
    readonly keys: readonly StreamKey[];
    /** Whether the receiver passes the query on to the other entries of its region. */
    readonly spread: boolean;
  }
  /** Answers a query with what is known. */
  | { readonly kind: "found"; readonly groups: readonly OriginGroup[] }
  /** Answers a query with the streams that the sender does not know. */
  | {
    readonly kind: "missing";
    readonly from: Incarnation;
    readonly keys: readonly StreamKey[];
  };
