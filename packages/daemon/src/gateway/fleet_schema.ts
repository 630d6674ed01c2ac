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
  demandReportSchema,
  encodeDemandReport,
  encodeOutlook,
  outlookSchema,
} from "./demand_schema.ts";
import {
  encodeFreshnessMessage,
  encodeSpendingMessage,
  freshnessMessageSchema,
  spendingMessageSchema,
} from "../customers/index.ts";
import {
  boundedArray,
  cataloguePosition,
  encodeHoldNotice,
  encodePosition,
  encodeQuarantineNews,
  endpointLife,
  holdNoticeSchema,
  nonNegativeInteger,
  number,
  quarantineNewsSchema,
  shortText,
} from "../quarantine/index.ts";

const recordSchema = z.tuple([
  shortText,
  shortText,
  nonNegativeInteger,
  shortText,
  shortText,
  shortText,
  shortText,
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
const holdingsSchema = z.tuple([nonNegativeInteger, cataloguePosition])
  .transform(
    ([document, catalogue]) => ({ document, catalogue }),
  );
const newsSchema = z.tuple([recordSchema, z.enum(["live", "suspect", "dead"])])
  .transform(
    ([record, health]) => ({ record, health }),
  );
const loadSchema = z.tuple([
  shortText,
  nonNegativeInteger,
  number,
  number,
  number,
]).transform(
  // Without endpoints there is no backlog. Its place then holds the time until there is an endpoint, which entries of
  // an earlier version ignore.
  ([service, endpoints, work, requests, backlog]) => ({
    service,
    endpoints,
    work,
    requests,
    backlog: endpoints === 0 ? 0 : backlog,
    closedFor: endpoints === 0 && backlog > 0 ? backlog : undefined,
  }),
);
const shareSchema = z.tuple([shortText, number]).transform(
  ([region, share]) => ({ region, share }),
);
const summarySchema = z.tuple([
  shortText,
  number,
  boundedArray(loadSchema),
  boundedArray(shareSchema),
]).transform(
  ([region, age, loads, shares]) => ({ region, age, loads, shares }),
);
const prefixPartSchema = z.tuple([shortText, number]).transform(
  ([id, tokens]) => ({ id, tokens }),
);
const reportSchema = z.tuple([
  z.boolean(),
  boundedArray(
    z.tuple([shortText, endpointLife, number, number, number]).transform(
      ([endpoint, life, prefill, requests, tokens]) => ({
        endpoint,
        life,
        prefill,
        requests,
        tokens,
      }),
    ),
  ),
  boundedArray(
    z.tuple([shortText, endpointLife, boundedArray(prefixPartSchema)])
      .transform(
        ([endpoint, life, parts]) => ({ endpoint, life, parts }),
      ),
  ),
  boundedArray(
    z.tuple([shortText, number, number]).transform(
      ([service, work, requests]) => ({ service, work, requests }),
    ),
  ),
  nonNegativeInteger,
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
  nonNegativeInteger,
  boundedArray(newsSchema),
  boundedArray(summarySchema),
  boundedArray(holdNoticeSchema),
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
  indirect: z.tuple([...baseItems, nonNegativeInteger, shortText]).transform(
    ([from, holdings, sequence, target]) => ({
      kind: "indirect",
      from,
      holdings,
      sequence,
      target,
    }),
  ),
  indirect_ack: z.tuple([...baseItems, nonNegativeInteger]).transform(
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
  work: z.tuple([shortText, reportSchema]).transform(
    ([incarnation, report]) => ({ kind: "work", incarnation, report }),
  ),
  quarantine: z.tuple([shortText, quarantineNewsSchema]).transform(
    ([incarnation, news]) => ({ kind: "quarantine", incarnation, news }),
  ),
  currency: z.tuple([freshnessMessageSchema]).transform(
    ([message]) => ({ kind: "currency", message }),
  ),
  spending: z.tuple([spendingMessageSchema]).transform(
    ([message]) => ({ kind: "spending", message }),
  ),
  limits: z.tuple([limitMessageSchema]).transform(
    ([message]) => ({ kind: "limits", message }),
  ),
  departures: z.tuple([departureMessageSchema]).transform(
    ([message]) => ({ kind: "departures", message }),
  ),
  demand: z.tuple([shortText, demandReportSchema]).transform(
    ([incarnation, report]) => ({ kind: "demand", incarnation, report }),
  ),
  outlook: z.tuple([outlookSchema]).transform(
    ([outlook]) => ({ kind: "outlook", outlook }),
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
    return [encodeFreshnessMessage(message.message)];
  }
  if (message.kind === "spending") {
    return [encodeSpendingMessage(message.message)];
  }
  if (message.kind === "limits") {
    return [encodeLimits(message.message)];
  }
  if (message.kind === "departures") {
    return [encodeDepartures(message.message)];
  }
  if (message.kind === "demand") {
    return [message.incarnation, encodeDemandReport(message.report)];
  }
  if (message.kind === "outlook") {
    return [encodeOutlook(message.outlook)];
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
    loads.map(
      ({ service, endpoints, work, requests, backlog, closedFor }) => [
        service,
        endpoints,
        work,
        requests,
        endpoints === 0 ? closedFor ?? 0 : backlog,
      ],
    ),
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
