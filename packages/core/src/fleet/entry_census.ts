/**
 * Entries that may exist, whether they answer or not. Limits of the whole fleet are divided by these: an entry that is
 * silent may be cut off and go on serving, so that the entries that are known to be alive are too few.
 *
 * @module
 */
import type { EntryId, Instant, RegionId } from "../ids/index.ts";
import type { FleetMember } from "./membership_list.ts";

/** How long a silent entry counts. A partition that lasts longer lets both sides use the whole of a limit. */
const SILENT_RETENTION_MS = 3_600_000;
/** How long an entry counts that announced its end: until what it has used of a limit no longer counts either. */
const STOPPED_RETENTION_MS = 30_000;
/** More entries than this in one region are taken for a mistake. */
const MAX_REPORTED_ENTRIES = 10_000;

/** How many entries a region may have, as another entry tells one that it has not known for long. */
export interface CensusReport {
  readonly region: RegionId;
  readonly entries: number;
}

interface CountedEntry {
  region: RegionId;
  /** Whether its last state was that it stops. */
  stopping: boolean;
  silentSince: Instant | undefined;
}

/** Counts the other entries that may exist, by region. */
export class EntryCensus {
  readonly #entries = new Map<EntryId, CountedEntry>();
  /** The largest number that was reported for a region, and when. */
  readonly #reports = new Map<RegionId, { entries: number; at: Instant }>();

  /** Updates the entries from the members that are known, dead ones included. */
  update(members: Iterable<FleetMember>, now: Instant): void {
    const present = new Set<EntryId>();
    for (const { record, health } of members) {
      const { id, region, state } = record;
      if (health !== "dead") {
        present.add(id);
        const stopping = state === "stopping";
        this.#entries.set(id, { region, stopping, silentSince: undefined });
      }
    }
    for (const [id, entry] of this.#entries) {
      if (!present.has(id)) {
        entry.silentSince ??= now;
      }
    }
  }

  /** Applies what another entry reports. */
  applyReport({ region, entries }: CensusReport, now: Instant): void {
    const known = this.#reports.get(region);
    const isNews = known === undefined || isOver(known, now) ||
      entries >= known.entries;
    if (isNews && entries <= MAX_REPORTED_ENTRIES) {
      this.#reports.set(region, { entries, at: now });
    }
  }

  /** Number of other entries of a region that may exist, from what this entry itself has observed. */
  observedIn(region: RegionId, now: Instant): number {
    let count = 0;
    for (const [id, entry] of this.#entries) {
      const { silentSince, stopping } = entry;
      const retention = stopping ? STOPPED_RETENTION_MS : SILENT_RETENTION_MS;
      if (silentSince !== undefined && now - silentSince > retention) {
        this.#entries.delete(id);
      } else if (entry.region === region) {
        count++;
      }
    }
    return count;
  }

  /** The number that other entries reported for a region, 0 if none did. */
  reportedIn(region: RegionId, now: Instant): number {
    const report = this.#reports.get(region);
    return report === undefined || isOver(report, now) ? 0 : report.entries;
  }
}

function isOver({ at }: { at: Instant }, now: Instant): boolean {
  return now - at > SILENT_RETENTION_MS;
}
