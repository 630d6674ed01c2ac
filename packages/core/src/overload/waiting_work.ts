/**
 * What waits in a region, added up by service, rank and lateness.
 *
 * @module
 */
import type {
  DemandReport,
  DemandTotals,
  QueuePosition,
  WaitingGroup,
} from "../demand/index.ts";
import type { ServiceId } from "../ids/index.ts";
import { unitsOf } from "./work_units.ts";

interface RankTotals {
  readonly service: ServiceId;
  readonly rank: number;
  readonly late: boolean;
  units: number;
}

/** Work that waits in the region. Where customers share capacity, another implementation tells what is ahead. */
export interface WorkAhead {
  /** Work that goes before every request at a position. */
  before(position: QueuePosition): number;
  /** Work at a position. */
  at(position: QueuePosition): number;
}

/** Sums of reports. The number of reports and customers doesn't matter to those who ask. */
export class WaitingWork implements WorkAhead {
  readonly #totals = new Map<string, RankTotals>();

  constructor(reports: Iterable<DemandReport> = []) {
    for (const { waiting } of reports) {
      waiting.forEach((group) => this.add(group, group));
    }
  }

  add(
    { service, rank, late }: Pick<WaitingGroup, "service" | "rank" | "late">,
    work: DemandTotals,
  ): void {
    const key = `${service} ${rank} ${late}`;
    const totals = this.#totals.get(key) ?? { service, rank, late, units: 0 };
    totals.units += unitsOf(work);
    this.#totals.set(key, totals);
  }

  before({ service, rank, late }: QueuePosition): number {
    let units = 0;
    for (const group of this.#totals.values()) {
      const goesBefore = group.late === late ? group.rank < rank : late;
      units += group.service === service && goesBefore ? group.units : 0;
    }
    return units;
  }

  at({ service, rank, late }: QueuePosition): number {
    return this.#totals.get(`${service} ${rank} ${late}`)?.units ?? 0;
  }

  /** Whether anything waits for a service. */
  has(service: ServiceId): boolean {
    return this.unitsOf(service) > 0;
  }

  /** All work that waits for a service. */
  unitsOf(service: ServiceId): number {
    let units = 0;
    for (const group of this.#totals.values()) {
      units += group.service === service ? Math.max(0, group.units) : 0;
    }
    return units;
  }
}
