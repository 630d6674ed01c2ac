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
  SpendingAnswer,
  SpendingClaim,
  SpendingMessage,
  SpendingReport,
  SpendingTotals,
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
} from "../quarantine/index.ts";

/** Encodes fractions of a limit as integers with four decimal places, which is precise enough. */
const FRACTION_SCALE = 10_000;

const fraction = nonNegativeInteger.transform((value) =>
  value / FRACTION_SCALE
);

const endpoint = z.tuple([
  shortText,
  shortText,
  shortText,
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
    shortText,
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

const customerSums = boundedArray(
  z.tuple([shortText, z.number()])
    .transform(([customer, sum]) => ({ customer, sum })),
);
const customerUnits = boundedArray(
  z.tuple([shortText, z.number().nonnegative()])
    .transform(([customer, units]) => ({ customer, units })),
);
const customerTotals = boundedArray(
  z.tuple([shortText, z.number(), z.number(), fraction]).transform((
    [customer, sum, level, part],
  ) => ({ customer, sum, level, part })),
);

/** Schema of what entries exchange about customers' usage. */
export const spendingMessageSchema = z.union([
  z.tuple([z.literal("report"), shortText, z.boolean(), customerSums])
    .transform(([kind, incarnation, first, spent]) => ({
      kind,
      incarnation,
      first,
      spent,
    })),
  z.tuple([
    z.literal("claim"),
    shortText,
    z.boolean(),
    customerSums,
    nonNegativeInteger,
    customerUnits,
  ]).transform(([kind, incarnation, first, spent, number, claimed]) => ({
    kind,
    incarnation,
    first,
    spent,
    number,
    claimed,
  })),
  z.tuple([
    z.literal("totals"),
    shortText,
    shortText,
    z.boolean(),
    customerTotals,
  ]).transform(([kind, incarnation, region, near, totals]) => ({
    kind,
    incarnation,
    region,
    near,
    totals,
  })),
  z.tuple([
    z.literal("answer"),
    shortText,
    shortText,
    z.boolean(),
    customerTotals,
    nonNegativeInteger,
    customerUnits,
  ]).transform(
    ([kind, incarnation, region, near, totals, number, granted]) => ({
      kind,
      incarnation,
      region,
      near,
      totals,
      number,
      granted,
    }),
  ),
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

/** Encodes what entries exchange about customers' usage. */
export function encodeSpendingMessage(message: SpendingMessage): unknown[] {
  switch (message.kind) {
    case "report":
      return encodeReport(message);
    case "claim":
      return [
        ...encodeReport(message),
        message.number,
        message.claimed.map(({ customer, units }) => [customer, units]),
      ];
    case "totals":
      return encodeTotals(message);
    case "answer":
      return [
        ...encodeTotals(message),
        message.number,
        message.granted.map(({ customer, units }) => [customer, units]),
      ];
  }
}

function encodeReport(
  { kind, incarnation, first, spent }: SpendingReport | SpendingClaim,
): unknown[] {
  const sums = spent.map(({ customer, sum }) => [customer, sum]);
  return [kind, incarnation, first, sums];
}

function encodeTotals(
  { kind, incarnation, region, near, totals }: SpendingTotals | SpendingAnswer,
): unknown[] {
  const sums = totals.map(({ customer, sum, level, part }) => [
    customer,
    sum,
    level,
    Math.floor(part * FRACTION_SCALE),
  ]);
  return [kind, incarnation, region, near, sums];
}
