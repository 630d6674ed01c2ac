/**
 * Decides when this entry reports its demand to the other entries of its region.
 *
 * @module
 */
import { after, type Instant, instant } from "../ids/index.ts";
import { type DemandReport, NO_DEMAND } from "./demand_messages.ts";
import type { RegionDemand } from "./region_demand.ts";

/**
 * Time between two reports while requests wait. Decisions about a queue of seconds need no newer figures, and a
 * report for each change would cost more the longer the queues are.
 */
export const DEMAND_PERIOD_MS = 200;

/** Dependencies of `DemandReporter`. */
export interface DemandReporterSources {
  readonly demand: RegionDemand;
  /** Whether any decision in use reads the region's demand. */
  readonly isWanted: () => boolean;
  readonly measure: (now: Instant) => DemandReport;
  readonly send: (report: DemandReport, now: Instant) => void;
}

/** Measures this entry's demand, and reports it while requests wait here or at a peer. */
export class DemandReporter {
  readonly #sources: DemandReporterSources;
  #nextAt = instant(0);
  /** Whether the last report was sent while requests waited somewhere. */
  #hasReported = false;

  constructor(sources: DemandReporterSources) {
    this.#sources = sources;
  }

  tick(now: Instant): void {
    const { demand, isWanted, measure, send } = this.#sources;
    if (now < this.#nextAt) {
      return;
    }
    this.#nextAt = after(now, DEMAND_PERIOD_MS);
    demand.expire(now);
    const report = isWanted() ? measure(now) : NO_DEMAND;
    demand.setOwn(report);
    const waits = report.waiting.length > 0;
    const contended = waits ||
      [...demand.reports()].some(({ waiting }) => waiting.length > 0);
    if (contended) {
      send(report, now);
    } else if (this.#hasReported) {
      send(NO_DEMAND, now);
    }
    this.#hasReported = contended;
  }
}
