/**
 * Format of the datagrams about cold endpoints: arrays whose items are identified by position.
 *
 * @module
 */
import type { ColdReport } from "@sassafrasstep/core";
import { z } from "zod";
import {
  boundedArray,
  endpointLife,
  nonNegativeInteger,
  shortText,
} from "../quarantine/index.ts";

/** No endpoint is cold for longer. */
const MAX_COLD_MS = 3_600_000;

/** Schema of the reports of cold endpoints. */
export const coldReportsSchema = boundedArray(
  z.tuple([shortText, endpointLife, nonNegativeInteger.max(MAX_COLD_MS)])
    .transform(
      ([endpoint, life, coldFor]) => ({ endpoint, life, coldFor }),
    ),
);

/** Encodes reports of cold endpoints as arrays. */
export function encodeColdReports(reports: readonly ColdReport[]): unknown[] {
  return reports.map(({ endpoint, life, coldFor }) => [
    endpoint,
    life ?? 0,
    Math.ceil(coldFor),
  ]);
}
