/**
 * Format of the datagrams about the limits and departures that endpoints announce: arrays whose items are
 * identified by position.
 *
 * @module
 */
import type { DepartureMessage, LimitMessage } from "@sassafrasstep/core";
import { z } from "zod";
import {
  boundedArray,
  endpointLife,
  number,
  shortText,
} from "../quarantine/index.ts";

const rateSchema = number.positive();
const ageSchema = number.nonnegative();
const noticeSchema = z.tuple([
  shortText,
  endpointLife,
  rateSchema.nullable(),
  ageSchema,
])
  .transform(
    ([endpoint, life, perSecond, age]) => ({
      endpoint,
      life,
      perSecond: perSecond ?? undefined,
      age,
    }),
  );

/** Schema of limit messages: notices of limits, requests for permits, and grants. */
export const limitMessageSchema = z.tuple([
  z.enum(["notice", "ask", "grant"]),
  shortText,
  boundedArray(noticeSchema),
]).transform(([kind, incarnation, notices]) => ({
  kind,
  incarnation,
  notices,
}));

/** Encodes a limit message as an array. */
export function encodeLimits(
  { kind, incarnation, notices }: LimitMessage,
): unknown[] {
  return [
    kind,
    incarnation,
    notices.map(({ endpoint, life, perSecond, age }) => [
      endpoint,
      life ?? 0,
      perSecond ?? null,
      Math.round(age),
    ]),
  ];
}

const departureSchema = z.tuple([shortText, endpointLife]).transform(
  ([endpoint, life]) => ({ endpoint, life }),
);

/** Schema of the messages that name endpoints that are shutting down. */
export const departureMessageSchema = z.tuple([
  shortText,
  boundedArray(departureSchema),
])
  .transform(
    ([incarnation, departures]) => ({ incarnation, departures }),
  );

/** Encodes a departure message as an array. */
export function encodeDepartures(
  { incarnation, departures }: DepartureMessage,
): unknown[] {
  return [
    incarnation,
    departures.map(({ endpoint, life }) => [endpoint, life ?? 0]),
  ];
}
