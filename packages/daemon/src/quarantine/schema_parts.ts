/**
 * Parts that the schemas of datagrams share.
 *
 * @module
 */
import { type CataloguePosition, isSocketAddress } from "@sassafrasstep/core";
import { z } from "zod";

/** Maximum number of items of an array in a datagram. */
export const MAX_ITEMS = 1_024;
/** Maximum length of a text in a datagram. */
export const MAX_TEXT_CHARACTERS = 256;
export const shortText = z.string().max(MAX_TEXT_CHARACTERS);
/** Address of an entry or an endpoint, as `host:port`. */
export const socketAddress = shortText.refine(isSocketAddress);
export const number = z.number();
export const nonNegativeInteger = z.number().int().nonnegative();
/** Life of an endpoint; 0 stands for an endpoint that does not report its life. */
export const endpointLife = nonNegativeInteger.transform((value) =>
  value === 0 ? undefined : value
);

/** Returns the schema of an array with as many items as a datagram can hold. */
export function boundedArray<Item extends z.ZodType>(
  item: Item,
): z.ZodArray<Item> {
  return z.array(item).max(MAX_ITEMS);
}

/** Position in the history of the catalogue. */
export const cataloguePosition = z.tuple([
  nonNegativeInteger,
  nonNegativeInteger,
]).transform(
  ([epoch, revision]) => ({ epoch, revision }),
);

/** Encodes a position. */
export function encodePosition(
  { epoch, revision }: CataloguePosition,
): unknown[] {
  return [epoch, revision];
}
