/**
 * Format of the datagrams about origins of streams: arrays whose items are identified by position. The keys of a group
 * are one text, since quotes and commas would be a quarter of the bytes.
 *
 * @module
 */
import type {
  OriginGroup,
  OriginMessage,
  StreamKey,
} from "@sassafrasstep/core";
import { z } from "zod";
import {
  boundedArray,
  number,
  shortText,
  socketAddress,
} from "../quarantine/index.ts";

const KEY_LENGTH = 11;
const MAX_KEYS = 500;

const keysSchema = z.string().max(MAX_KEYS * KEY_LENGTH).regex(
  /^(?:[\w-]{11})*$/,
).transform((text) => text.match(/.{11}/g) ?? []);

/** An empty service stands for an origin that is in doubt. */
const groupSchema = z.tuple([
  shortText,
  shortText,
  number.int().nonnegative(),
  number.nonnegative(),
  keysSchema,
]).transform(([service, version, revision, lifetime, keys]) => ({
  origin: service === "" ? undefined : { service, version },
  revision,
  lifetime,
  keys,
}));
const groupsSchema = boundedArray(groupSchema);

/** Schema of the messages about origins of streams. */
export const originMessageSchema = z.union([
  z.tuple([
    z.literal("records"),
    shortText,
    groupsSchema,
    socketAddress.or(z.literal("")),
  ])
    .transform(([kind, from, groups, confirmTo]) => ({
      kind,
      from,
      groups,
      confirmTo: confirmTo || undefined,
    })),
  z.tuple([z.literal("query"), socketAddress, keysSchema, z.boolean()])
    .transform(([kind, replyTo, keys, spread]) => ({
      kind,
      replyTo,
      keys,
      spread,
    })),
  z.tuple([z.literal("found"), groupsSchema])
    .transform(([kind, groups]) => ({ kind, groups })),
  z.tuple([z.literal("missing"), shortText, keysSchema])
    .transform(([kind, from, keys]) => ({ kind, from, keys })),
  z.tuple([z.literal("confirmed"), shortText])
    .transform(([kind, from]) => ({ kind, from })),
]);

/** Encodes a message about origins of streams as an array. */
export function encodeOriginMessage(message: OriginMessage): unknown[] {
  switch (message.kind) {
    case "records":
      return [
        message.kind,
        message.from,
        message.groups.map(encodeGroup),
        message.confirmTo ?? "",
      ];
    case "query":
      return [
        message.kind,
        message.replyTo,
        encodeKeys(message.keys),
        message.spread,
      ];
    case "found":
      return [message.kind, message.groups.map(encodeGroup)];
    case "missing":
      return [message.kind, message.from, encodeKeys(message.keys)];
    case "confirmed":
      return [message.kind, message.from];
  }
}

function encodeGroup(
  { origin, revision, lifetime, keys }: OriginGroup,
): unknown[] {
  return [
    origin?.service ?? "",
    origin?.version ?? "",
    revision,
    Math.ceil(lifetime),
    encodeKeys(keys),
  ];
}

function encodeKeys(keys: readonly StreamKey[]): string {
  return keys.join("");
}
