/**
 * Schemas of datagrams about customers, which are encoded as arrays with fixed positions.
 *
 * @module
 */
import type {
  CatalogueChange,
  CatalogueDelta,
  EndpointRecord,
  FreshnessMessage,
  SpendingMessage,
} from "@sassafrasstep/core";
import { z } from "zod";
import {
  boundedArray,
  cataloguePosition,
  encodePosition,
  endpointLife,
  nonNegativeInteger,
  number,
  shortText,
  socketAddress,
} from "../quarantine/index.ts";

/** Encodes fractions of a limit as integers with four decimal places, which is precise enough. */
const FRACTION_SCALE = 10_000;

const fraction = nonNegativeInteger.transform((value) =>
  value / FRACTION_SCALE
);

const endpoint = z.tuple([
  shortText,
  shortText,
  socketAddress,
  shortText,
  shortText,
  nonNegativeInteger,
  z.enum(["ready", "draining"]),
  number,
  number.nullable(),
  endpointLife,
  nonNegativeInteger,
]).transform((
  [
    id,
    service,
    address,
    zone,
    softwareVersion,
    slots,
    state,
    coldFor,
    leavesIn,
    life,
    sequence,
  ],
) => ({
  id,
  service,
  address,
  zone,
  softwareVersion,
  slots,
  state,
  coldFor,
  leavesIn: leavesIn ?? undefined,
  life,
  sequence,
}));

const change = z.union([
  z.tuple([z.literal("endpoint"), endpoint]).transform(
    ([kind, record]) => ({ kind, record }),
  ),
  z.tuple([z.literal("endpointRemoved"), shortText]).transform(
    ([kind, id]) => ({ kind, id }),
  ),
  z.tuple([z.enum(["evacuated", "evacuationEnded"]), shortText]).transform(
    ([kind, zone]) => ({ kind, zone }),
  ),
]);

const catalogueDelta = z.tuple([nonNegativeInteger, boundedArray(change)])
  .transform(
    ([revision, changes]) => ({ revision, changes }),
  );

/** Schema of questions about the freshness of a document, and of the answers. */
export const freshnessMessageSchema = z.union([
  z.tuple([
    z.literal("question"),
    socketAddress,
    nonNegativeInteger,
    cataloguePosition,
  ]).transform(
    ([kind, from, sequence, position]) => ({ kind, from, sequence, position }),
  ),
  z.tuple([
    z.literal("answer"),
    shortText,
    nonNegativeInteger,
    nonNegativeInteger,
    cataloguePosition,
    number,
    catalogueDelta.nullable(),
  ]).transform(
    ([kind, incarnation, sequence, version, position, age, news]) => ({
      kind,
      incarnation,
      sequence,
      version,
      position,
      age,
      news: news ?? undefined,
    }),
  ),
]);

/** Schema of reports and totals of what customers spend. */
export const spendingMessageSchema = z.union([
  z.tuple([
    z.literal("report"),
    shortText,
    z.boolean(),
    boundedArray(z.tuple([shortText, z.number()])),
  ]).transform(([kind, incarnation, first, spent]) => ({
    kind,
    incarnation,
    first,
    spent: spent.map(([customer, sum]) => ({ customer, sum })),
  })),
  z.tuple([
    z.literal("totals"),
    shortText,
    shortText,
    z.boolean(),
    boundedArray(z.tuple([shortText, z.number(), z.number(), fraction])),
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

/** Encodes a question about freshness, or an answer. */
export function encodeFreshnessMessage(message: FreshnessMessage): unknown[] {
  return message.kind === "question"
    ? [
      message.kind,
      message.from,
      message.sequence,
      encodePosition(message.position),
    ]
    : [
      message.kind,
      message.incarnation,
      message.sequence,
      message.version,
      encodePosition(message.position),
      // Rounded up, so that an age is never understated.
      Math.ceil(message.age),
      message.news === undefined ? null : encodeCatalogueDelta(message.news),
    ];
}

function encodeCatalogueDelta(
  { revision, changes }: CatalogueDelta,
): unknown[] {
  return [revision, changes.map(encodeChange)];
}

function encodeChange(change: CatalogueChange): unknown[] {
  switch (change.kind) {
    case "endpoint":
      return [change.kind, encodeEndpoint(change.record)];
    case "endpointRemoved":
      return [change.kind, change.id];
    case "evacuated":
    case "evacuationEnded":
      return [change.kind, change.zone];
    case "document":
      throw new Error("Cannot encode a document change in a datagram");
  }
}

function encodeEndpoint(record: EndpointRecord): unknown[] {
  return [
    record.id,
    record.service,
    record.address,
    record.zone,
    record.softwareVersion,
    record.slots,
    record.state,
    record.coldFor,
    record.leavesIn ?? null,
    record.life ?? 0,
    record.sequence,
  ];
}

/** Encodes a report or totals of what customers spend. */
export function encodeSpendingMessage(message: SpendingMessage): unknown[] {
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
    Math.floor(part * FRACTION_SCALE),
  ]);
  return [kind, incarnation, region, near, sums];
}
