/**
 * Schemas of peers' messages. A message that does not match is rejected as a whole.
 *
 * @module
 */
import {
  type ConfigurationCopy,
  type Heartbeat,
  type HeartbeatReply,
  type KeyHandOver,
  MAX_KNOWN_TEXTS,
  type OutcomeCopy,
  type Revision,
} from "@sassafrasstep/core";
import { z } from "zod";
import {
  decodeFreshness,
  decodeSpare,
  FRESHNESS_PATTERN,
  SPARE_PATTERN,
  type WireHeartbeat,
  type WireHeartbeatReply,
} from "./heartbeat_encoding.ts";

const MAX_ITEMS = 256;
const MAX_KEYS = 20_000;
const MAX_ANSWER_CHARACTERS = 32_768;
const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/);
const id = z.string().min(1).max(128).regex(/^[\x21-\x7e]+$/);
const url = z.string().max(256).regex(/^https?:\/\//);
const count = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);
const nonNegative = z.number().nonnegative().finite();

const member = z.object({
  id: name,
  incarnation: id,
  version: count,
  zone: name,
  region: name,
  url,
  controlUrl: url,
  state: z.enum(["starting", "ready", "stopping"]),
  epoch: count,
  owns: z.array(id).max(MAX_ITEMS),
});
const recordCopy = z.object({ record: member, beat: count });
const freshness = z.string().regex(FRESHNESS_PATTERN).transform(
  decodeFreshness,
);
const demand = z.array(
  z.object({ customer: name, requestsPerSecond: nonNegative }),
)
  .max(MAX_ITEMS);
const zoneNews = z.object({
  zone: name,
  region: name,
  issuer: id,
  beat: count,
  spare: z.array(z.string().regex(SPARE_PATTERN).transform(decodeSpare)).max(
    MAX_ITEMS,
  ),
  demand,
});
const leavingEndpoints = z.array(z.object({ endpoint: id })).max(MAX_ITEMS);

const heartbeat = z.object({
  deployment: name,
  from: freshness,
  revision: count,
  rejected: count,
  demand,
  freshness: z.array(freshness).max(MAX_ITEMS),
  records: z.array(recordCopy).max(MAX_ITEMS),
  news: z.array(zoneNews).max(MAX_ITEMS),
  leaving: leavingEndpoints,
});
const heartbeatReply = z.object({
  from: freshness,
  revision: count,
  rejected: count,
  record: member.optional(),
  wanted: z.array(id).max(MAX_ITEMS),
  leaving: leavingEndpoints,
});

const outcome = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("ran"),
    answer: z.object({
      status: z.number().int().min(100).max(599),
      contentType: z.string().max(256),
      body: z.string().max(MAX_ANSWER_CHARACTERS),
    }),
  }),
  z.object({ kind: z.literal("ran_unkept") }),
  z.object({ kind: z.literal("unknown") }),
]);
const outcomeCopy = z.object({
  customer: name,
  home: name,
  key: id,
  bodyDigest: id,
  outcome,
});
const handOver = z.object({
  owner: id,
  epoch: count,
  epochAge: nonNegative,
  used: z.array(outcomeCopy.extend({ epoch: count })).max(MAX_KEYS),
});

const hunk = z.object({
  start: count,
  remove: count,
  lines: z.array(z.string()),
});
const configurationCopy = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("whole"),
    revision: count,
    text: z.string(),
    history: z.array(z.object({ revision: count, digest: id }))
      .max(MAX_KNOWN_TEXTS).optional(),
  }),
  z.object({
    kind: z.literal("patch"),
    revision: count,
    base: count,
    patch: z.object({ hunks: z.array(hunk), digest: id }),
  }),
]);

/*
 * The casts add branded types, which exist only for the type checker: a validated string has its brand.
 */
export const heartbeatSchema = heartbeat as unknown as z.ZodType<
  Heartbeat,
  WireHeartbeat
>;
/** Schema of the answer to a heartbeat. */
export const heartbeatReplySchema = heartbeatReply as unknown as z.ZodType<
  HeartbeatReply,
  WireHeartbeatReply
>;
/** Schema of a copied outcome. */
export const outcomeCopySchema = outcomeCopy as unknown as z.ZodType<
  OutcomeCopy
>;
/** Schema of a hand-over of used keys. */
export const handOverSchema = handOver as unknown as z.ZodType<KeyHandOver>;
/** Schema of a peer's copy of the configuration; `null` if the peer has no newer revision. */
export const configurationCopySchema = configurationCopy
  .nullable() as unknown as z.ZodType<ConfigurationCopy | null>;
/** Schema of a revision. */
export const revisionSchema = count as unknown as z.ZodType<Revision>;
/** Schema of a request's id. */
export const requestIdSchema = id;
