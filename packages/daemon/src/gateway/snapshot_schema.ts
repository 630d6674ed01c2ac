/**
 * Checks the catalogue that a peer answers with. Fields that this version does not know are kept.
 *
 * @module
 */
import { z } from "zod";
import { socketAddress } from "../quarantine/index.ts";

const text = z.string();
const amount = z.number().nonnegative();
const wholeNumber = z.number().int().nonnegative();

const routeSchema = z.looseObject({
  name: text,
  host: text,
  pathPrefix: text,
  kind: z.enum(["idempotent", "non_idempotent", "stream"]),
  targets: z.array(z.looseObject({ service: text, weight: z.number() })),
  attempts: z.number(),
  timeout: amount,
  objective: amount,
  priority: z.number(),
  homes: z.array(text),
});

const documentSchema = z.looseObject({
  version: wholeNumber,
  routes: z.array(routeSchema),
  services: z.array(z.looseObject({
    id: text,
    healthPath: text,
    connectionLimit: amount,
    coldRate: amount,
    coldPeriod: amount,
  })),
  customers: z.array(z.looseObject({
    id: text,
    keyDigests: z.array(text),
    homes: z.array(text),
  })),
  limits: z.looseObject({
    headerBytes: amount,
    bodyBytes: amount,
    headerTime: amount,
    idleTime: amount,
  }),
});

/** Schema of the record of an endpoint. */
export const endpointRecordSchema = z.looseObject({
  id: text.min(1),
  service: text,
  address: socketAddress,
  zone: text,
  softwareVersion: text,
  slots: wholeNumber.positive(),
  state: z.enum(["ready", "draining"]),
  coldFor: amount,
  leavesIn: amount.optional(),
  life: wholeNumber.optional(),
  sequence: wholeNumber,
});

/** Schema of a snapshot. Records of endpoints are checked one by one, so that a faulty one does not hide the others. */
export const snapshotSchema = z.looseObject({
  epoch: wholeNumber.optional(),
  revision: wholeNumber,
  document: documentSchema.optional(),
  endpoints: z.array(z.unknown()),
  evacuated: z.array(text),
});
