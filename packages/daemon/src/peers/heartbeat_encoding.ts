/**
 * Encodes what heartbeats repeat most, a member's freshness and a service's spare capacity, as short
 * strings. As JSON objects they would take up most of a heartbeat's bytes.
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

/** Encoded freshness: `incarnation.beat.version`. */
export const FRESHNESS_PATTERN = /^[a-z0-9]{8,32}\.\d{1,15}\.\d{1,15}$/;
/** Encoded spare capacity: `service slots milliseconds`, the last being the time to the first token. */
export const SPARE_PATTERN = /^[a-z0-9][a-z0-9-]{0,62} \d{1,9} \d{1,9}$/;

/** A zone's news with encoded spare capacity. */
export interface WireZoneNews extends Omit<ZoneReport, "spare"> {
  readonly spare: readonly string[];
}

/** A heartbeat with encoded freshness and spare capacity. */
export interface WireHeartbeat
  extends Omit<Heartbeat, "from" | "freshness" | "news"> {
  readonly from: string;
  readonly freshness: readonly string[];
  readonly news: readonly WireZoneNews[];
}

/** The answer to a heartbeat with encoded freshness. */
export interface WireHeartbeatReply extends Omit<HeartbeatReply, "from"> {
  readonly from: string;
}

/** Encodes a heartbeat. */
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

/** Encodes the answer to a heartbeat. */
export function encodeHeartbeatReply(
  reply: HeartbeatReply,
): WireHeartbeatReply {
  return { ...reply, from: encodeFreshness(reply.from) };
}

/** Decodes a string that matches `FRESHNESS_PATTERN`. */
export function decodeFreshness(text: string): MemberFreshness {
  const [incarnation, beat, version] = text.split(".");
  return {
    incarnation: incarnation as Incarnation,
    beat: Number(beat),
    version: Number(version),
  };
}

/** Decodes a string that matches `SPARE_PATTERN`. */
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
