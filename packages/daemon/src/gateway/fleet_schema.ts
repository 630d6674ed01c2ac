/**
 * Format of the datagrams between entries: JSON arrays whose items are identified by position. Field names
 * made up half of the bytes, and every entry of a region receives these datagrams many times a second. A
 * datagram of any other format is dropped and counted.
 *
 * @module
 */
import type {
  EntryRecord,
  FleetGossip,
  FleetMessage,
  HeldVersions,
  RegionSummary,
  WorkReport,
} from "@sassafrasstep/core";
import { z } from "zod";
import {
  departureMessageSchema,
  encodeDepartures,
  encodeLimits,
  limitMessageSchema,
} from "./terms_schema.ts";
import {
  currencyMessage,
  encodeCurrency,
  encodeSpending,
  spendingMessage,
} from "../customers/index.ts";
import {
  encodeHoldNotice,
  encodePosition,
  encodeQuarantineNews,
  holdNotice,
  life,
  list,
  number,
  position,
  quarantineNews,
  text,
  whole,
} from "../quarantine/index.ts";

const recordSchema = z.tuple([
  text,
  text,
  whole,
  text,
  text,
  text,
  text,
  z.enum(["starting", "ready", "outdated", "stopping"]),
  number,
]).transform((
  [
    id,
    incarnation,
    version,
    zone,
    region,
    callerAddress,
    peerAddress,
    state,
    weight,
  ],
) => ({
  id,
  incarnation,
  version,
  zone,
  region,
  callerAddress,
  peerAddress,
  state,
  weight,
}));
const holdingsSchema = z.tuple([whole, position]).transform(
  ([document, catalogue]) => ({ document, catalogue }),
);
const newsSchema = z.tuple([recordSchema, z.enum(["live", "suspect", "dead"])])
  .transform(
    ([record, health]) => ({ record, health }),
  );
const loadSchema = z.tuple([text, whole, number, number, number]).transform(
  ([service, endpoints, work, requests, backlog]) => ({
    service,
    endpoints,
    work,
    requests,
    backlog,
  }),
);
const shareSchema = z.tuple([text, number]).transform(
  ([region, share]) => ({ region, share }),
);
const summarySchema = z.tuple([
  text,
  number,
  list(loadSchema),
  list(shareSchema),
]).transform(
  ([region, age, loads, shares]) => ({ region, age, loads, shares }),
);
const prefixPartSchema = z.tuple([text, number]).transform(
  ([id, tokens]) => ({ id, tokens }),
);
const reportSchema = z.tuple([
  z.boolean(),
  list(
    z.tuple([text, life, number, number, number]).transform(
      ([endpoint, life, prefill, requests, tokens]) => ({
        endpoint,
        life,
        prefill,
        requests,
        tokens,
      }),
    ),
  ),
  list(
    z.tuple([text, life, list(prefixPartSchema)]).transform(
      ([endpoint, life, parts]) => ({ endpoint, life, parts }),
    ),
  ),
  list(
    z.tuple([text, number, number]).transform(
      ([service, work, requests]) => ({ service, work, requests }),
    ),
  ),
  whole,
]).transform(([partial, endpoints, prefixes, arrivals, picture]) => ({
  partial,
  endpoints,
  prefixes,
  arrivals,
  picture,
}));

const baseItems = [recordSchema, holdingsSchema] as const;
const probeSchema = z.tuple([
  ...baseItems,
  whole,
  list(newsSchema),
  list(summarySchema),
  list(holdNotice),
]);

/** Schemas of the items after the kind, for each kind of message. */
const BODY_SCHEMAS = {
  ping: probeSchema.transform((
    [from, holdings, sequence, news, regions, holds],
  ) => ({
    kind: "ping",
    from,
    holdings,
    sequence,
    news,
    regions,
    holds,
  })),
  ack: probeSchema.transform((
    [from, holdings, sequence, news, regions, holds],
  ) => ({
    kind: "ack",
    from,
    holdings,
    sequence,
    news,
    regions,
    holds,
  })),
  indirect: z.tuple([...baseItems, whole, text]).transform(
    ([from, holdings, sequence, target]) => ({
      kind: "indirect",
      from,
      holdings,
      sequence,
      target,
    }),
  ),
  indirect_ack: z.tuple([...baseItems, whole]).transform(
    ([from, holdings, sequence]) => ({
      kind: "indirect_ack",
      from,
      holdings,
      sequence,
    }),
  ),
  announce: z.tuple([...baseItems]).transform(
    ([from, holdings]) => ({ kind: "announce", from, holdings }),
  ),
  work: z.tuple([text, reportSchema]).transform(
    ([incarnation, report]) => ({ kind: "work", incarnation, report }),
  ),
  quarantine: z.tuple([text, quarantineNews]).transform(
    ([incarnation, news]) => ({ kind: "quarantine", incarnation, news }),
  ),
  currency: z.tuple([currencyMessage]).transform(
    ([message]) => ({ kind: "currency", message }),
  ),
  spending: z.tuple([spendingMessage]).transform(
    ([message]) => ({ kind: "spending", message }),
  ),
  limits: z.tuple([limitMessageSchema]).transform(
    ([message]) => ({ kind: "limits", message }),
  ),
  departures: z.tuple([departureMessageSchema]).transform(
    ([message]) => ({ kind: "departures", message }),
  ),
} as const;

/** Decodes a datagram; returns `undefined` if it is not a valid message. */
export function decodeFleetMessage(bytes: Buffer): FleetMessage | undefined {
  try {
    const [kind, ...body] = JSON.parse(bytes.toString("utf8"));
    const schema = Object.hasOwn(BODY_SCHEMAS, kind)
      ? BODY_SCHEMAS[kind as FleetMessage["kind"]]
      : undefined;
    const result = schema?.safeParse(body);
    return result?.success === true
      ? result.data as unknown as FleetMessage
      : undefined;
  } catch {
    return undefined;
  }
}

/** Encodes a message as a datagram. */
export function encodeFleetMessage(message: FleetMessage): Buffer {
  return Buffer.from(JSON.stringify([message.kind, ...encodeBody(message)]));
}

function encodeBody(message: FleetMessage): unknown[] {
  if (message.kind === "work") {
    return [message.incarnation, encodeReport(message.report)];
  }
  if (message.kind === "quarantine") {
    return [message.incarnation, encodeQuarantineNews(message.news)];
  }
  if (message.kind === "currency") {
    return [encodeCurrency(message.message)];
  }
  if (message.kind === "spending") {
    return [encodeSpending(message.message)];
  }
  if (message.kind === "limits") {
    return [encodeLimits(message.message)];
  }
  if (message.kind === "departures") {
    return [encodeDepartures(message.message)];
  }
  const base = [encodeRecord(message.from), encodeHoldings(message.holdings)];
  switch (message.kind) {
    case "ping":
    case "ack":
      return [...base, message.sequence, ...encodeGossip(message)];
    case "indirect":
      return [...base, message.sequence, message.target];
    case "indirect_ack":
      return [...base, message.sequence];
    case "announce":
      return base;
  }
}

function encodeRecord(record: EntryRecord): unknown[] {
  return [
    record.id,
    record.incarnation,
    record.version,
    record.zone,
    record.region,
    record.callerAddress,
    record.peerAddress,
    record.state,
    record.weight,
  ];
}

function encodeHoldings({ document, catalogue }: HeldVersions): unknown[] {
  return [document, encodePosition(catalogue)];
}

function encodeGossip({ news, regions, holds }: FleetGossip): unknown[] {
  return [
    news.map(({ record, health }) => [encodeRecord(record), health]),
    regions.map(encodeSummary),
    holds.map(encodeHoldNotice),
  ];
}

function encodeSummary(
  { region, age, loads, shares }: RegionSummary,
): unknown[] {
  return [
    region,
    Math.round(age),
    loads.map(({ service, endpoints, work, requests, backlog }) => [
      service,
      endpoints,
      work,
      requests,
      backlog,
    ]),
    shares.map(({ region, share }) => [region, Number(share.toFixed(3))]),
  ];
}

function encodeReport(
  { partial, endpoints, prefixes, arrivals, picture }: WorkReport,
): unknown[] {
  return [
    partial,
    endpoints.map(({ endpoint, life, prefill, requests, tokens }) => [
      endpoint,
      life ?? 0,
      Math.round(prefill),
      requests,
      tokens,
    ]),
    prefixes.map(({ endpoint, life, parts }) => [
      endpoint,
      life ?? 0,
      parts.map(({ id, tokens }) => [id, tokens]),
    ]),
    arrivals.map(({ service, work, requests }) => [service, work, requests]),
    picture,
  ];
}
