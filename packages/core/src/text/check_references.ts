/**
 * Checks between sections: names that must exist, homes that must be able to serve, no cycles.
 *
 * @module
 */
import type { ServiceId } from "../ids/index.ts";
import type { Route } from "../routes/index.ts";
import type { Deployment, Service } from "./deployment.ts";

type Report = (
  section: string,
  key: string,
  found: string,
  expected: string,
) => void;

/** Reports every broken reference of a deployment. */
export function checkReferences(deployment: Deployment, report: Report): void {
  checkPresence(deployment, report);
  checkZones(deployment, report);
  for (const service of deployment.services.values()) {
    checkService(deployment, service, report);
  }
  checkRoutes(deployment, report);
  checkCustomers(deployment, report);
}

function checkPresence(deployment: Deployment, report: Report): void {
  if (deployment.regions.size === 0) {
    report("deployment", "", "no region", "at least one [region NAME]");
  }
  if (deployment.services.size === 0) {
    report("deployment", "", "no service", "at least one [service NAME]");
  }
}

function checkZones(deployment: Deployment, report: Report): void {
  const regionByZone = new Map<string, string>();
  for (const region of deployment.regions.values()) {
    for (const zone of region.zones) {
      const other = regionByZone.get(zone);
      if (other !== undefined) {
        report(
          `region ${region.id}`,
          "zones",
          `"${zone}"`,
          `a zone that region "${other}" does not have`,
        );
      }
      regionByZone.set(zone, region.id);
    }
  }
}

function checkService(
  deployment: Deployment,
  service: Service,
  report: Report,
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
  report: Report,
): void {
  const section = `service ${service.id}`;
  const target = deployment.services.get(dependency);
  if (target === undefined) {
    report(section, "depends_on", `"${dependency}"`, "a service of this text");
    return;
  }
  if (reaches(deployment, { from: dependency, to: service.id })) {
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

function reaches(
  deployment: Deployment,
  { from, to }: { from: ServiceId; to: ServiceId },
): boolean {
  const seen = new Set<ServiceId>();
  const open = [from];
  while (open.length > 0) {
    const next = open.pop()!;
    if (next === to) {
      return true;
    }
    if (!seen.has(next)) {
      seen.add(next);
      open.push(...(deployment.services.get(next)?.dependsOn ?? []));
    }
  }
  return false;
}

function checkRoutes(deployment: Deployment, report: Report): void {
  const ownerByPlace = new Map<string, string>();
  for (const route of deployment.routes.values()) {
    checkRoute(deployment, route, report);
    const place = `${route.host}${route.pathPrefix}`;
    const owner = ownerByPlace.get(place);
    if (owner !== undefined) {
      const expected = `a place that route "${owner}" does not have`;
      report(`route ${route.name}`, "path", `"${place}"`, expected);
    }
    ownerByPlace.set(place, route.name);
  }
}

function checkRoute(
  deployment: Deployment,
  { name, kind, targets, homes, attempts, resumable }: Route,
  report: Report,
): void {
  const section = `route ${name}`;
  for (const { service } of targets) {
    if (!deployment.services.has(service)) {
      report(section, "services", `"${service}"`, "a service of this text");
    }
  }
  for (const home of homes) {
    const served = targets.every(({ service }) =>
      deployment.services.get(service)?.regions.includes(home) ?? true
    );
    if (!deployment.regions.has(home) || !served) {
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

function checkCustomers(deployment: Deployment, report: Report): void {
  const ownerByDigest = new Map<string, string>();
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
      const owner = ownerByDigest.get(digest);
      if (owner !== undefined) {
        report(
          section,
          "token_sha256",
          `the digest of customer "${owner}"`,
          "a digest of its own",
        );
      }
      ownerByDigest.set(digest, customer.id);
    }
  }
}
