/**
 * Options of the fleet controller.
 *
 * @module
 */
import type { Instant, Randomness } from "../ids/index.ts";
import type { StallAdjustedClockView } from "../listening/index.ts";
import type { HoldNotice } from "../quarantine/index.ts";
import type {
  EntryRecord,
  FleetMessage,
  HeldVersions,
  RegionSummary,
} from "./fleet_messages.ts";

/** The fixed part of this entry's record. */
export type FleetIdentity = Omit<EntryRecord, "version" | "state">;

/** Settings of the fleet controller, and its access to the rest of the entry. */
export interface FleetOptions {
  readonly self: FleetIdentity;
  /** Peer addresses that are contacted first. */
  readonly seeds: readonly string[];
  /** Time between pings, in milliseconds. */
  readonly pingPeriodMs: number;
  readonly random: Randomness;
  readonly clock: StallAdjustedClockView;
  readonly send: (to: string, message: FleetMessage) => void;
  readonly holdings: () => HeldVersions;
  /** Whether this entry is on standby, that is, has had no requests lately. */
  readonly isStandby: () => boolean;
  /** Current load summary of this entry's region. */
  readonly summary: (now: Instant) => RegionSummary;
  /** The next few of the requests that are held back; successive calls go through all of them. */
  readonly nextHolds: (now: Instant) => readonly HoldNotice[];
}
