/**
 * What one entry tells another with a request that it passes on.
 *
 * @module
 */
import type {
  CallerDigest,
  ContentDigest,
  Incarnation,
  RelayFacts,
  RequestFingerprint,
} from "@sassafrasstep/core";

/** Names the entry, how many endpoints may have got the request, and what it is known by. */
export const RELAY_HEADER = "sassafrasstep-relay";

/** A relayed request's facts. */
export interface RelayedFacts {
  readonly relay: RelayFacts;
  /** As its first entry worked it out: only that one sees the caller. */
  readonly fingerprint: RequestFingerprint;
}

/** The header's text. */
export function writeRelay(
  { from, sentBefore }: RelayFacts,
  { content, caller }: RequestFingerprint,
): string {
  return [from, sentBefore, content, caller].join(";");
}

/** Reads the header, `undefined` where it is none of an entry's. */
export function readRelay(
  text: string | string[] | undefined,
): RelayedFacts | undefined {
  const [from, sent, content, caller] = typeof text === "string"
    ? text.split(";")
    : [];
  const sentBefore = Number(sent);
  if (!Number.isInteger(sentBefore) || !from || !content || !caller) {
    return undefined;
  }
  return {
    relay: { from: from as Incarnation, sentBefore },
    fingerprint: {
      content: content as ContentDigest,
      caller: caller as CallerDigest,
    },
  };
}
