/**
 * Format of the datagrams about what answers need: arrays whose items are identified by position.
 *
 * @module
 */
import type { EndpointPressure } from "@sassafrasstep/core";
import { z } from "zod";
import {
  boundedArray,
  endpointLife,
  nonNegativeInteger,
  shortText,
} from "../quarantine/index.ts";

const PERCENT = 100;

/** Schema of what the answers of an entry need. */
export const pressuresSchema = boundedArray(
  z.tuple([shortText, endpointLife, nonNegativeInteger])
    .transform(([endpoint, life, percent]) => ({
      endpoint,
      life,
      pressure: percent / PERCENT,
    })),
);

/** Encodes what the answers of an entry need as arrays. */
export function encodePressures(
  pressures: readonly EndpointPressure[],
): unknown[] {
  return pressures.map(({ endpoint, life, pressure }) => [
    endpoint,
    life ?? 0,
    Math.round(pressure * PERCENT),
  ]);
}
