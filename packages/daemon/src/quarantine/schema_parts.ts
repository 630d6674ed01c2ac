/**
 * Parts that the shapes of datagrams share.
 *
 * @module
 */
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
