/**
 * Parses the load reports that endpoints publish.
 *
 * @module
 */
import { type LoadReport, milliseconds } from "@sassafrasstep/core";
import { z } from "zod";

/** Header of an endpoint's answer that contains its load report. */
export const LOAD_HEADER = "x-endpoint-load";
const MAX_EVICTED = 4_096;
const nonNegative = z.number().nonnegative().finite();

const reportSchema = z.object({
  age_ms: nonNegative.default(0),
  running: nonNegative,
  queued: nonNegative.default(0),
  slots: nonNegative,
  prefill_rate: nonNegative.default(0),
  hold_ms: nonNegative.default(0),
  draining: z.boolean().default(false),
  model: z.string().max(64).default(""),
  fence: nonNegative.default(0),
  evicted: z.array(z.number()).max(MAX_EVICTED).default([]),
  cache_gap: z.boolean().default(false),
});

/** Parses a report; returns `undefined` if it is invalid. */
export function parseLoadReport(text: string): LoadReport | undefined {
  let json: unknown;
  try {
    json = JSON.parse(text);
  } catch {
    return undefined;
  }
  const result = reportSchema.safeParse(json);
  if (!result.success) {
    return undefined;
  }
  const { data } = result;
  return {
    age: milliseconds(data.age_ms),
    running: data.running,
    queued: data.queued,
    slots: data.slots,
    prefillRate: data.prefill_rate,
    holdTime: milliseconds(data.hold_ms),
    draining: data.draining,
    model: data.model,
    fence: data.fence,
    evicted: data.evicted,
    cacheGap: data.cache_gap,
  };
}
