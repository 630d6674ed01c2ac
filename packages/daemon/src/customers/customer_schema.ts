/**
 * Shape of datagrams about customers: lists whose items have fixed places.
 *
 * @module
 */
import type { CurrencyMessage, SpendingMessage } from "@sassafrasstep/core";
import { z } from "zod";
import { list, number, text, whole } from "../quarantine/index.ts";

/** Four places tell parts of a limit apart as far as matters. */
const PART_SCALE = 10_000;

const part = whole.transform((value) => value / PART_SCALE);

/** Questions and answers how current a document is. */
export const currencyMessage = z.union([
  z.tuple([z.literal("question"), text, whole]).transform(
    ([kind, from, sequence]) => ({ kind, from, sequence }),
  ),
  z.tuple([z.literal("answer"), text, whole, whole, whole, number]).transform(
    ([kind, incarnation, sequence, version, revision, age]) => ({
      kind,
      incarnation,
      sequence,
      version,
      revision,
      age,
    }),
  ),
]);

/** What customers use. */
export const spendingMessage = z.union([
  z.tuple([
    z.literal("report"),
    text,
    z.boolean(),
    list(z.tuple([text, z.number()])),
  ]).transform(([kind, incarnation, first, spent]) => ({
    kind,
    incarnation,
    first,
    spent: spent.map(([customer, sum]) => ({ customer, sum })),
  })),
  z.tuple([
    z.literal("totals"),
    text,
    text,
    z.boolean(),
    list(z.tuple([text, z.number(), z.number(), part])),
  ]).transform(([kind, incarnation, region, near, totals]) => ({
    kind,
    incarnation,
    region,
    near,
    totals: totals.map(([customer, sum, level, part]) => ({
      customer,
      sum,
      level,
      part,
    })),
  })),
]);

/** Writes a question or an answer. */
export function encodeCurrency(message: CurrencyMessage): unknown[] {
  return message.kind === "question"
    ? [message.kind, message.from, message.sequence]
    : [
      message.kind,
      message.incarnation,
      message.sequence,
      message.version,
      message.revision,
      // Never younger than it is.
      Math.ceil(message.age),
    ];
}

/** Writes sums. */
export function encodeSpending(message: SpendingMessage): unknown[] {
  if (message.kind === "report") {
    const { kind, incarnation, first, spent } = message;
    const sums = spent.map(({ customer, sum }) => [customer, sum]);
    return [kind, incarnation, first, sums];
  }
  const { kind, incarnation, region, near, totals } = message;
  const sums = totals.map(({ customer, sum, level, part }) => [
    customer,
    sum,
    level,
    Math.floor(part * PART_SCALE),
  ]);
  return [kind, incarnation, region, near, sums];
}
