/**
 * What finding and losing each other needs of an entry.
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

/** Who this entry is. */
export type FleetSelf = Omit<FleetRecord, "version" | "state">;

/** What the controller is made with. */
export interface FleetOptions {
  readonly self: FleetSelf;
  /** Peer addresses to begin with. */
  readonly seeds: readonly string[];
  /** Between pings, in milliseconds. */
  readonly period: number;
  readonly random: Randomness;
  readonly listened: ListenedTimeView;
  readonly send: (to: string, message: FleetMessage) => void;
  readonly holdings: () => Holdings;
  /** Whether this entry stands by: it has had no requests lately. */
  readonly resting: () => boolean;
  /** The own region's summary as it is now. */
  readonly summary: (now: Instant) => RegionSummary;
  /** Some of the requests that are held back, others each time. */
  readonly holds: (now: Instant) => readonly HoldNotice[];
}
