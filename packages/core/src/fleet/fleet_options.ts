/**
 * Options of the fleet controller.
 *
 * @module
 */
import type { Instant, Randomness } from "../ids/index.ts";
import type { ListenedTimeView } from "../listening/index.ts";
import type { HoldNotice } from "../quarantine/index.ts";
import type {
  FleetMessage,
  FleetRecord,
  Holdings,
  RegionSummary,
} from "./fleet_messages.ts";

/** The fixed part of this entry's record. */
export type FleetIdentity = Omit<FleetRecord, "version" | "state">;

/** Settings of the fleet controller, and its access to the rest of the entry. */
export interface FleetOptions {
  readonly self: FleetIdentity;
  /** Peer addresses that are contacted first. */
  readonly seeds: readonly string[];
  /** Time between pings, in milliseconds. */
  readonly period: number;
  readonly random: Randomness;
  readonly listened: ListenedTimeView;
  readonly send: (to: string, message: FleetMessage) => void;
  readonly holdings: () => Holdings;
  /** Whether this entry is on standby, that is, has had no requests lately. */
  readonly resting: () => boolean;
  /** Current load summary of this entry's region. */
  readonly summary: (now: Instant) => RegionSummary;
  /** The next few of the requests that are held back; successive calls go through all of them. */
  readonly holds: (now: Instant) => readonly HoldNotice[];
}
