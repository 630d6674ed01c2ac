/**
 * Short forms of what heartbeats repeat most: a member's freshness and a service's free capacity. As
 * JSON objects they would be most of a heartbeat's bytes.
 *
 * @module
 */
import {
  type Heartbeat,
  type HeartbeatReply,
  type Incarnation,
  type MemberFreshness,
  milliseconds,
  type ServiceId,
  type SpareCapacity,
  type ZoneReport,
} from "@sassafrasstep/core";

/** `incarnation.beat.version` */
export const FRESHNESS = /^[a-z0-9]{8,32}\.\d{1,15}\.\d{1,15}$/;
/** `service slots milliseconds` */
export const SPARE = /^[a-z0-9][a-z0-9-]{0,62} \d{1,9} \d{1,9}$/;

/** News with their short forms. */
export interface WireZoneNews extends Omit<ZoneReport, "spare"> {
  readonly spare: readonly string[];
}

/** A heartbeat with its short forms. */
export interface WireHeartbeat
  extends Omit<Heartbeat, "from" | "freshness" | "news"> {
  readonly from: string;
  readonly freshness: readonly string[];
  readonly news: readonly WireZoneNews[];
}

/** An answer with its short forms. */
export interface WireHeartbeatReply extends Omit<HeartbeatReply, "from"> {
  readonly from: string;
}

/** Shortens a heartbeat. */
export function encodeHeartbeat(heartbeat: Heartbeat): WireHeartbeat {
  return {
    ...heartbeat,
    from: encodeFreshness(heartbeat.from),
    freshness: heartbeat.freshness.map(encodeFreshness),
    news: heartbeat.news.map((item) => ({
      ...item,
      spare: item.spare.map(encodeSpare),
    })),
  };
}

/** Shortens an answer. */
export function encodeReply(reply: HeartbeatReply): WireHeartbeatReply {
  return { ...reply, from: encodeFreshness(reply.from) };
}

/** Reads a short form that matches `FRESHNESS`. */
export function decodeFreshness(text: string): MemberFreshness {
  const [incarnation, beat, version] = text.split(".");
  return {
    incarnation: incarnation as Incarnation,
    beat: Number(beat),
    version: Number(version),
  };
}

/** Reads a short form that matches `SPARE`. */
export function decodeSpare(text: string): SpareCapacity {
  const [service, slots, firstToken] = text.split(" ");
  return {
    service: service as ServiceId,
    slots: Number(slots),
    firstToken: milliseconds(Number(firstToken)),
  };
}

function encodeFreshness(
  { incarnation, beat, version }: MemberFreshness,
): string {
  return `${incarnation}.${beat}.${version}`;
}

function encodeSpare({ service, slots, firstToken }: SpareCapacity): string {
  return `${service} ${Math.round(slots)} ${Math.round(firstToken)}`;
}
