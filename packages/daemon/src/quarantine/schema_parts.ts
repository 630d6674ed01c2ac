/**
 * Parts that the shapes of datagrams share.
 *
 * @module
 */
import type { CataloguePosition } from "@sassafrasstep/core";
import { z } from "zod";

const MAX_ITEMS = 1_024;
export const text = z.string().max(256);
export const number = z.number();
export const whole = z.number().int().nonnegative();
/** 0 stands for an endpoint that does not tell its life. */
export const life = whole.transform((value) => value === 0 ? undefined : value);

/** A list of no more items than a datagram has room for. */
export function list<Item extends z.ZodType>(item: Item): z.ZodArray<Item> {
  return z.array(item).max(MAX_ITEMS);
}

/** A place in the history of the published picture. */
export const position = z.tuple([whole, whole]).transform(
  ([epoch, revision]) => ({ epoch, revision }),
);

/** Writes a position. */
export function encodePosition(
  { epoch, revision }: CataloguePosition,
): unknown[] {
  return [epoch, revision];
}
