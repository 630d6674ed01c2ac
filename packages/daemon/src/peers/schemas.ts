/**
 * Shapes of peers' messages. A message of another shape is refused whole.
 *
 * @module
 */
import type {
  ConfigurationCopy,
  Heartbeat,
  HeartbeatReply,
  KeyHandOver,
  OutcomeCopy,
  Revision,
} from "@sassafrasstep/core";
import { z } from "zod";
import {
  decodeFreshness,
  decodeSpare,
  FRESHNESS,
  SPARE,
  type WireHeartbeat,
  type WireHeartbeatReply,
} from "./wire.ts";

const MAX_ITEMS = 256;
const MAX_KEYS = 20_000;
const MAX_ANSWER = 32_768;
const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/);
const id = z.string().min(1).max(128).regex(/^[\x21-\x7e]+$/);
const url = z.string().max(256).regex(/^https?:\/\//);
const count = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);
const amount = z.number().nonnegative().finite();

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
const copy = z.object({ record: member, beat: count });
const freshness = z.string().regex(FRESHNESS).transform(decodeFreshness);
const demand = z.array(z.object({ customer: name, requestsPerSecond: amount }))
  .max(MAX_ITEMS);
const news = z.object({
  zone: name,
  region: name,
  issuer: id,
  beat: count,
  spare: z.array(z.string().regex(SPARE).transform(decodeSpare)).max(MAX_ITEMS),
  demand,
});
const leaving = z.array(z.object({ endpoint: id })).max(MAX_ITEMS);

const heartbeat = z.object({
  deployment: name,
  from: freshness,
  revision: count,
  rejected: count,
  demand,
  freshness: z.array(freshness).max(MAX_ITEMS),
  records: z.array(copy).max(MAX_ITEMS),
  news: z.array(news).max(MAX_ITEMS),
  leaving,
});
const heartbeatReply = z.object({
  from: freshness,
  revision: count,
  rejected: count,
  record: member.optional(),
  wanted: z.array(id).max(MAX_ITEMS),
  leaving,
});

const outcome = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("ran"),
    answer: z.object({
      status: z.number().int().min(100).max(599),
      contentType: z.string().max(256),
      body: z.string().max(MAX_ANSWER),
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
  epochAge: amount,
  used: z.array(outcomeCopy.extend({ epoch: count })).max(MAX_KEYS),
});

const hunk = z.object({
  start: count,
  remove: count,
  lines: z.array(z.string()),
});
const configurationCopy = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("whole"), revision: count, text: z.string() }),
  z.object({
    kind: z.literal("patch"),
    revision: count,
    base: count,
    patch: z.object({ hunks: z.array(hunk), digest: id }),
  }),
]);

/*
 * Brands exist for the type checker only: a checked string is a branded one.
 */
export const heartbeatSchema = heartbeat as unknown as z.ZodType<
  Heartbeat,
  WireHeartbeat
>;
/** Shape of the answer to a heartbeat. */
export const heartbeatReplySchema = heartbeatReply as unknown as z.ZodType<
  HeartbeatReply,
  WireHeartbeatReply
>;
/** Shape of an outcome's copy. */
export const outcomeCopySchema = outcomeCopy as unknown as z.ZodType<
  OutcomeCopy
>;
/** Shape of a hand-over. */
export const handOverSchema = handOver as unknown as z.ZodType<KeyHandOver>;
/** Shape of a peer's copy of the text; `null` where it has nothing newer. */
export const configurationCopySchema = configurationCopy
  .nullable() as unknown as z.ZodType<ConfigurationCopy | null>;
/** Shape of a revision. */
export const revisionSchema = count as unknown as z.ZodType<Revision>;
/** Shape of a request's id. */
export const requestIdSchema = id;
