/**
 * Connects the reports of demand to the decisions that read them, and to the entries that receive them.
 *
 * @module
 */
import {
  type DemandReport,
  DemandReporter,
  type RegionDemand,
} from "../demand/index.ts";
import type { FeatureName, Features } from "../features/index.ts";
import type { FleetController } from "../fleet/index.ts";
import type { Instant } from "../ids/index.ts";
import { ReportAllowance } from "../pace/index.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { ServingSet } from "./serving_set.ts";

/** Optional decisions that read the region's demand or the paces in its reports. */
const READERS: readonly FeatureName[] = [
  "endpointPace",
  "fairShares",
  "regionAdmission",
  "earlyRelay",
];

/** The parts of the entry that reports of demand depend on. */
export interface DemandReporterParts {
  readonly demand: RegionDemand;
  readonly endpoints: EndpointRegistry;
  readonly features: Features;
  readonly fleet: FleetController;
  readonly serving: ServingSet;
  readonly measure: (now: Instant) => DemandReport;
}

/** Creates the reporter of this entry's demand. */
export function createDemandReporter(
  { demand, endpoints, features, fleet, serving, measure }: DemandReporterParts,
): DemandReporter {
  const paceAllowance = new ReportAllowance();
  const withPaces = (report: DemandReport, now: Instant): DemandReport => {
    if (!features.isOn("endpointPace")) {
      return report;
    }
    const limit = paceAllowance.available(demand.entries, now);
    const paces = endpoints.takeUnsharedPaces(limit, now);
    paceAllowance.spend(paces.length);
    return { ...report, paces };
  };
  return new DemandReporter({
    demand,
    isWanted: () => READERS.some((name) => features.isOn(name)),
    measure,
    send: (report, now) =>
      fleet.sender.sendDemand(
        withPaces(report, now),
        (record) =>
          serving.has(record, now) || endpoints.hasReport(record.incarnation),
      ),
  });
}
