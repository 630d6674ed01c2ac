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
  RepetitionDigests,
  Revision,
  ServiceId,
  StreamOrigin,
} from "@sassafrasstep/core";

/**
 * Header with the relaying entry's incarnation, the number of endpoints that may have received the request,
 * the request's fingerprint, and its customer.
 */
export const RELAY_HEADER = "sassafrasstep-relay";

/**
 * Header in the place of `RELAY_HEADER` for a stream that has begun. Entries of earlier versions reject a request
 * without `RELAY_HEADER`; they would continue the stream at any software version.
 */
export const RESUMED_RELAY_HEADER = "sassafrasstep-resumed-relay";

/**
 * Header of a relayed request and of the answer to it: the attempt that is answered. The id of a request is the same
 * each time that it is relayed. Entries of earlier versions do not return it.
 */
export const RELAY_ATTEMPT_HEADER = "sassafrasstep-relay-attempt";

/** Header of an answer to a relayed request: what began the stream. */
export const STREAM_ORIGIN_HEADER = "sassafrasstep-stream-origin";

/** Header of an answer to a relayed request: version of the document by which it was handled. */
export const DOCUMENT_VERSION_HEADER = "sassafrasstep-document-version";

/** What a relaying entry states about a request. */
export interface RelayedRequest {
  readonly relay: RelayInfo;
  /** As computed by the first entry: only that one sees the caller. */
  readonly digests: RepetitionDigests;
}

/** Formats the header's value. */
export function formatRelayHeader(
  { from, sentBefore, customer, origin, documentVersion }: RelayInfo,
  { content, caller }: RepetitionDigests,
): string {
  return formatItems([
    from,
    sentBefore,
    content,
    caller,
    customer ?? "",
    origin?.service ?? "",
    origin?.version ?? "",
    documentVersion ?? "",
  ]);
}

/** Formats the value of `STREAM_ORIGIN_HEADER`. */
export function formatStreamOrigin({ service, version }: StreamOrigin): string {
  return formatItems([service, version]);
}

/** Parses the value of `STREAM_ORIGIN_HEADER`. */
export function parseStreamOrigin(
  text: string | undefined,
): StreamOrigin | undefined {
  const [service, version] = text?.split(";").map(decodeItem) ?? [];
  return service && version !== undefined
    ? { service: service as ServiceId, version }
    : undefined;
}

/** Parses the header's value; returns `undefined` if no entry could have written it. */
export function parseRelayHeader(
  text: string | string[] | undefined,
): RelayedRequest | undefined {
  const items = typeof text === "string" ? text.split(";").map(decodeItem) : [];
  const [from, sent, content, caller, customer, service, version, document] =
    items;
  const sentBefore = Number(sent);
  if (!Number.isInteger(sentBefore) || !from || !content || !caller) {
    return undefined;
  }
  return {
    relay: {
      from: from as Incarnation,
      sentBefore,
      customer: customer ? customer as CustomerId : undefined,
      origin: service && version !== undefined
        ? { service: service as ServiceId, version }
        : undefined,
      documentVersion: parseDocumentVersion(document),
    },
    digests: {
      content: content as ContentDigest,
      caller: caller as CallerDigest,
    },
  };
}

/** Parses the version of a document. */
export function parseDocumentVersion(
  text: string | undefined,
): Revision | undefined {
  return text !== undefined && /^\d{1,15}$/.test(text)
    ? Number(text) as Revision
    : undefined;
}

function formatItems(items: readonly (string | number)[]): string {
  return items.map(encodeItem).join(";");
}

/** Encodes an item; an unpaired surrogate, which has no encoding, is replaced as in UTF-8. */
function encodeItem(item: string | number): string {
  return encodeURIComponent(Buffer.from(String(item)).toString());
}

/** Decodes an item; a malformed one counts as missing. */
function decodeItem(item: string): string {
  try {
    return decodeURIComponent(item);
  } catch {
    return "";
  }
}
