/**
 * What one entry tells another with a request that it passes on.
 *
 * @module
 */
import type {
  CallerDigest,
  ContentDigest,
  CustomerId,
  Incarnation,
  RelayInfo,
  RequestFingerprint,
} from "@sassafrasstep/core";

/** Names the entry, how many endpoints may have got the request, what it is known by, and its customer. */
export const RELAY_HEADER = "sassafrasstep-relay";

/** A relayed request's facts. */
export interface RelayedFacts {
  readonly relay: RelayInfo;
  /** As its first entry worked it out: only that one sees the caller. */
  readonly fingerprint: RequestFingerprint;
}

/** The header's text. */
export function writeRelay(
  { from, sentBefore, customer }: RelayInfo,
  { content, caller }: RequestFingerprint,
): string {
  return [from, sentBefore, content, caller, customer ?? ""].map(
    (item) => encodeURIComponent(item),
  ).join(";");
}

/** Reads the header, `undefined` where it is none of an entry's. */
export function readRelay(
  text: string | string[] | undefined,
): RelayedFacts | undefined {
  const [from, sent, content, caller, customer] = typeof text === "string"
    ? text.split(";").map(decode)
    : [];
  const sentBefore = Number(sent);
  if (!Number.isInteger(sentBefore) || !from || !content || !caller) {
    return undefined;
  }
  return {
    relay: {
      from: from as Incarnation,
      sentBefore,
      customer: customer ? customer as CustomerId : undefined,
    },
    fingerprint: {
      content: content as ContentDigest,
      caller: caller as CallerDigest,
    },
  };
}

/** An item as it was before it was written; one that is malformed is missing. */
function decode(item: string): string {
  try {
    return decodeURIComponent(item);
  } catch {
    return "";
  }
}
