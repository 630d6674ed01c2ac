/**
 * Shape of the datagrams between entries. A datagram of another shape is dropped and counted.
 *
 * @module
 */
import type { FleetMessage } from "@sassafrasstep/core";
import { z } from "zod";

const MAX_ITEMS = 1_024;
const text = z.string().max(256);
const number = z.number();
const whole = z.number().int().nonnegative();
const list = <Item extends z.ZodType>(item: Item): z.ZodArray<Item> =>
  z.array(item).max(MAX_ITEMS);

const record = z.object({
  id: text,
  incarnation: text,
  version: whole,
  zone: text,
  region: text,
  callerAddress: text,
  peerAddress: text,
  state: z.enum(["starting", "ready", "stopping"]),
  weight: number,
});
const base = {
  from: record,
  holdings: z.object({ document: whole, catalogue: whole }),
};
const gossip = {
  news: list(z.object({
    record,
    health: z.enum(["live", "suspect", "dead"]),
  })),
  regions: list(z.object({
    region: text,
    age: number,
    loads: list(z.object({
      service: text,
      endpoints: whole,
      work: number,
      backlog: number,
    })),
    shares: list(z.object({ region: text, share: number })),
  })),
};
const report = z.object({
  partial: z.boolean(),
  endpoints: list(z.object({
    endpoint: text,
    prefill: number,
    requests: number,
    tokens: number,
  })),
  prefixes: list(z.object({
    endpoint: text,
    parts: list(z.object({ id: text, tokens: number })),
  })),
  arrivals: list(z.object({ service: text, work: number, queued: number })),
});

const schema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("ping"), sequence: whole, ...base, ...gossip }),
  z.object({ kind: z.literal("ack"), sequence: whole, ...base, ...gossip }),
  z.object({
    kind: z.literal("indirect"),
    sequence: whole,
    target: text,
    ...base,
  }),
  z.object({ kind: z.literal("vouch"), sequence: whole, ...base }),
  z.object({ kind: z.literal("announce"), ...base }),
  z.object({ kind: z.literal("work"), incarnation: text, report }),
]);

/** Reads a datagram, `undefined` where it is none of ours. */
export function decodeFleetMessage(bytes: Buffer): FleetMessage | undefined {
  try {
    const result = schema.safeParse(JSON.parse(bytes.toString("utf8")));
    return result.success ? result.data as unknown as FleetMessage : undefined;
  } catch {
    return undefined;
  }
}

/** Writes a datagram. */
export function encodeFleetMessage(message: FleetMessage): Buffer {
  return Buffer.from(JSON.stringify(message));
}
