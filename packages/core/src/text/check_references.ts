/**
 * Checks references between sections: names must exist, homes must have the services, and dependencies
 * must not form a cycle.
 *
 * @module
 */
import type { ServiceId } from "../ids/index.ts";
import type { Route } from "../routes/index.ts";
import type { Deployment, Service } from "./deployment.ts";

type FaultReporter = (
  section: string,
  key: string,
  found: string,
  expected: string,
) => void;

/** Reports every invalid reference of a deployment. */
export function checkReferences(
  deployment: Deployment,
  report: FaultReporter,
): void {
  checkRequiredSections(deployment, report);
  checkZones(deployment, report);
  for (const service of deployment.services.values()) {
    checkService(deployment, service, report);
  }
  checkRoutes(deployment, report);
  checkCustomers(deployment, report);
}

function checkRequiredSections(
  deployment: Deployment,
  report: FaultReporter,
): void {
  if (deployment.regions.size === 0) {
    report("deployment", "", "no region", "at least one [region NAME]");
  }
  if (deployment.services.size === 0) {
    report("deployment", "", "no service", "at least one [service NAME]");
  }
}

function checkZones(deployment: Deployment, report: FaultReporter): void {
  const regionByZone = new Map<string, string>();
  for (const region of deployment.regions.values()) {
    for (const zone of region.zones) {
      const otherRegion = regionByZone.get(zone);
      if (otherRegion !== undefined) {
        report(
          `region ${region.id}`,
          "zones",
          `"${zone}"`,
          `a zone that region "${otherRegion}" does not have`,
        );
      }
      regionByZone.set(zone, region.id);
    }
  }
}

function checkService(
  deployment: Deployment,
  service: Service,
  report: FaultReporter,
): void {
  const section = `service ${service.id}`;
  for (const region of service.regions) {
    if (!deployment.regions.has(region)) {
      report(section, "regions", `"${region}"`, "a region of this text");
    }
  }
  for (const dependency of service.dependsOn) {
    checkDependency(deployment, { service, dependency }, report);
  }
}

function checkDependency(
  deployment: Deployment,
  { service, dependency }: { service: Service; dependency: ServiceId },
  report: FaultReporter,
): void {
  const section = `service ${service.id}`;
  const target = deployment.services.get(dependency);
  if (target === undefined) {
    report(section, "depends_on", `"${dependency}"`, "a service of this text");
    return;
  }
  if (hasDependencyPath(deployment, { from: dependency, to: service.id })) {
    report(
      section,
      "depends_on",
      `"${dependency}"`,
      "no cycle of dependencies",
    );
  }
  const missing = service.regions.find((region) =>
    !target.regions.includes(region)
  );
  if (missing !== undefined) {
    report(
      section,
      "depends_on",
      `"${dependency}"`,
      `a service that region "${missing}" has too`,
    );
  }
}

function hasDependencyPath(
  deployment: Deployment,
  { from, to }: { from: ServiceId; to: ServiceId },
): boolean {
  const seen = new Set<ServiceId>();
  const pending = [from];
  while (pending.length > 0) {
    const next = pending.pop()!;
    if (next === to) {
      return true;
    }
    if (!seen.has(next)) {
      seen.add(next);
      pending.push(...(deployment.services.get(next)?.dependsOn ?? []));
    }
  }
  return false;
}

function checkRoutes(deployment: Deployment, report: FaultReporter): void {
  const routeByLocation = new Map<string, string>();
  for (const route of deployment.routes.values()) {
    checkRoute(deployment, route, report);
    const location = `${route.host}${route.pathPrefix}`;
    const otherRoute = routeByLocation.get(location);
    if (otherRoute !== undefined) {
      const expected = `a place that route "${otherRoute}" does not have`;
      report(`route ${route.name}`, "path", `"${location}"`, expected);
    }
    routeByLocation.set(location, route.name);
  }
}

function checkRoute(
  deployment: Deployment,
  { name, kind, targets, homes, attempts, resumable }: Route,
  report: FaultReporter,
): void {
  const section = `route ${name}`;
  for (const { service } of targets) {
    if (!deployment.services.has(service)) {
      report(section, "services", `"${service}"`, "a service of this text");
    }
  }
  for (const home of homes) {
    const isServed = targets.every(({ service }) =>
      deployment.services.get(service)?.regions.includes(home) ?? true
    );
    if (!deployment.regions.has(home) || !isServed) {
      const expected = "a region that has the route's services";
      report(section, "homes", `"${home}"`, expected);
    }
  }
  if (kind === "non_idempotent" && attempts > 1) {
    const expected = "1: a call that may not repeat gets one attempt";
    report(section, "attempts", `"${attempts}"`, expected);
  }
  if (kind !== "stream" && resumable) {
    report(section, "resumable", '"yes"', "kind = stream");
  }
}

function checkCustomers(deployment: Deployment, report: FaultReporter): void {
  const customerByDigest = new Map<string, string>();
  for (const customer of deployment.customers.values()) {
    const section = `customer ${customer.id}`;
    if (!deployment.regions.has(customer.home)) {
      report(section, "home", `"${customer.home}"`, "a region of this text");
    } else if (
      ![...deployment.services.values()].some((service) =>
        service.regions.includes(customer.home)
      )
    ) {
      report(
        section,
        "home",
        `"${customer.home}"`,
        "a region with at least one service",
      );
    }
    for (const digest of customer.keyDigests) {
      const otherCustomer = customerByDigest.get(digest);
      if (otherCustomer !== undefined) {
        report(
          section,
          "token_sha256",
          `the digest of customer "${otherCustomer}"`,
          "a digest of its own",
        );
      }
      customerByDigest.set(digest, customer.id);
    }
  }
}
