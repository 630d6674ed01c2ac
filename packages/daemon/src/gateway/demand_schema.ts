/**
 * Schemas of datagrams about the demand at entries and the outlook of regions, encoded as arrays with fixed
 * positions.
 *
 * @module
 */
import type { DemandReport, RegionOutlook } from "@sassafrasstep/core";
import { z } from "zod";
import {
  boundedArray,
  nonNegativeInteger,
  number,
  shortText,
} from "../quarantine/index.ts";

/** Stands for a request without a customer: ids of customers are not empty. */
const NO_CUSTOMER = "";

/** Schema of a region's outlook. */
export const outlookSchema = z.tuple([
  shortText,
  number,
  boundedArray(
    z.tuple([shortText, boundedArray(nonNegativeInteger), nonNegativeInteger])
      .transform(([service, startDelays, spareTokensPerSecond]) => ({
        service,
        startDelays,
        spareTokensPerSecond,
      })),
  ),
]).transform(([region, age, services]) => ({ region, age, services }));

/** Encodes a demand report. */
export function encodeDemandReport(
  { waiting, placed, paces }: DemandReport,
): unknown[] {
  return [
    waiting.map(({ service, rank, late, customer, requests, tokens }) => [
      service,
      rank,
      late,
      customer ?? NO_CUSTOMER,
      requests,
      Math.round(tokens),
    ]),
    placed.map(({ service, customer, requests, tokens }) => [
      service,
      customer ?? NO_CUSTOMER,
      requests,
      Math.round(tokens),
    ]),
    paces.map(({ endpoint, contention, age }) => [
      endpoint,
      Math.round(contention),
      Math.round(age),
    ]),
  ];
}

/** Encodes a region's outlook. */
export function encodeOutlook(
  { region, age, services }: RegionOutlook,
): unknown[] {
  return [
    region,
    Math.round(age),
    services.map(({ service, startDelays, spareTokensPerSecond }) => [
      service,
      startDelays.map((delay) => Math.round(delay)),
      Math.round(spareTokensPerSecond),
    ]),
  ];
}
