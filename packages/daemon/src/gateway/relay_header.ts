/**
 * Header that an entry adds to a request that it relays to another entry.
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

/**
 * Header with the relaying entry's incarnation, the number of endpoints that may have received the request,
 * the request's fingerprint, and its customer.
 */
export const RELAY_HEADER = "sassafrasstep-relay";

/** What a relaying entry states about a request. */
export interface RelayedRequest {
  readonly relay: RelayInfo;
  /** As computed by the first entry: only that one sees the caller. */
  readonly fingerprint: RequestFingerprint;
}

/** Formats the header's value. */
export function formatRelayHeader(
  { from, sentBefore, customer }: RelayInfo,
  { content, caller }: RequestFingerprint,
): string {
  return [from, sentBefore, content, caller, customer ?? ""].map(
    (item) => encodeURIComponent(item),
  ).join(";");
}

/** Parses the header's value; returns `undefined` if no entry could have written it. */
export function parseRelayHeader(
  text: string | string[] | undefined,
): RelayedRequest | undefined {
  const [from, sent, content, caller, customer] = typeof text === "string"
    ? text.split(";").map(decodeItem)
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

/** Decodes an item; a malformed one counts as missing. */
function decodeItem(item: string): string {
  try {
    return decodeURIComponent(item);
  } catch {
    return "";
  }
}
