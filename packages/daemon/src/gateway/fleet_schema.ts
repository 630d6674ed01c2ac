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
import { encodePressures, pressuresSchema } from "./pressure_schema.ts";
import { coldReportsSchema, encodeColdReports } from "./cold_schema.ts";
import { decodeFrequent } from "./fleet_decoder.ts";
import { encodeOriginMessage, originMessageSchema } from "./origin_schema.ts";
import { encodeRetryLoan, retryLoanSchema } from "./retry_schema.ts";
import {
  departureMessageSchema,
  encodeDepartures,
  encodeLimits,
  limitMessageSchema,
} from "./terms_schema.ts";
import {
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
  encodeHoldNotice,
  encodePosition,
  encodeQuarantineNews,
  quarantineNewsSchema,
  shortText,
} from "../quarantine/index.ts";

/** Schemas of the items after the kind, for the kinds of message that `decodeFrequent` leaves out. */
const BODY_SCHEMAS = {
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
  pressures: z.tuple([shortText, pressuresSchema]).transform(
    ([incarnation, pressures]) => ({
      kind: "pressures",
      incarnation,
      pressures,
    }),
  ),
  cold: z.tuple([coldReportsSchema]).transform(
    ([reports]) => ({ kind: "cold", reports }),
  ),
  origins: z.tuple([originMessageSchema]).transform(
    ([message]) => ({ kind: "origins", message }),
  ),
  outlook: z.tuple([outlookSchema]).transform(
    ([outlook]) => ({ kind: "outlook", outlook }),
  ),
  retries: z.tuple([retryLoanSchema]).transform(
    ([message]) => ({ kind: "retries", message }),
  ),
  census: z.tuple([shortText, z.number().int().positive()]).transform(
    ([region, entries]) => ({ kind: "census", report: { region, entries } }),
  ),
} as const;

/** Decodes a datagram; returns `undefined` if it is not a valid message. */
export function decodeFleetMessage(bytes: Buffer): FleetMessage | undefined {
  try {
    const [kind, ...body] = JSON.parse(bytes.toString("utf8"));
    const frequent = decodeFrequent(kind, body);
    if (frequent !== undefined) {
      return frequent;
    }
    const schema = Object.hasOwn(BODY_SCHEMAS, kind)
      ? BODY_SCHEMAS[kind as keyof typeof BODY_SCHEMAS]
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
  if (message.kind === "pressures") {
    return [message.incarnation, encodePressures(message.pressures)];
  }
  if (message.kind === "cold") {
    return [encodeColdReports(message.reports)];
  }
  if (message.kind === "demand") {
    return [message.incarnation, encodeDemandReport(message.report)];
  }
  if (message.kind === "outlook") {
    return [encodeOutlook(message.outlook)];
  }
  if (message.kind === "origins") {
    return [encodeOriginMessage(message.message)];
  }
  if (message.kind === "retries") {
    return [encodeRetryLoan(message.message)];
  }
  if (message.kind === "census") {
    return [message.report.region, message.report.entries];
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
