/**
 * The commands `gateway`, which shows the state of one entry, and `release`, which ends the quarantine of
 * a request.
 *
 * @module
 */
import { createGatewayClient, type GatewayStatus } from "@sassafrasstep/daemon";
import {
  type CommandResult,
  EXIT_CODES,
  formatTable,
} from "../output/index.ts";

/** Age above which the catalogue of an entry is reported as a problem. */
const STALE_CATALOGUE_MS = 10_000;
/** Endpoints whose work takes this many times as long as usual are marked. */
const MIN_SHOWN_SLOWDOWN = 1.5;
const MS_PER_SECOND = 1_000;

/** Shows what one entry knows: document, members, endpoints, held requests, and the regions callers are sent to. */
export async function showGateway(controlUrl: string): Promise<CommandResult> {
  const client = createGatewayClient(controlUrl.replace(/\/$/, ""));
  let status: GatewayStatus;
  try {
    status = await client.status.query();
  } catch (error) {
    const text = `Cannot ask ${controlUrl}: ${(error as Error).message}`;
    return { text, json: { error: text }, exitCode: EXIT_CODES.failure };
  }
  const problems = findProblems(status);
  const sections = [
    formatSummary(status),
    formatTable(
      ["MEMBER", "REGION", "STATE"],
      status.members.map(({ id, region, state }) => [id, region, state]),
    ),
    formatEndpoints(status),
    formatSizes(status),
    formatHeldRequests(status),
    problems.map((problem) => `problem: ${problem}`).join("\n"),
  ];
  return {
    text: sections.filter((section) => section !== "").join("\n\n"),
    json: { ...status, problems },
    exitCode: problems.length === 0 ? EXIT_CODES.ok : EXIT_CODES.failure,
  };
}

/** Ends the hold of a request at all entries, through one of them. `digest` identifies the request. */
export async function releaseRequest(
  controlUrl: string,
  digest: string,
): Promise<CommandResult> {
  const client = createGatewayClient(controlUrl.replace(/\/$/, ""));
  try {
    const released = await client.release.mutate(digest);
    const text = released
      ? `Request ${digest} is no longer held back`
      : `Request ${digest} is not held back at ${controlUrl}`;
    const exitCode = released ? EXIT_CODES.ok : EXIT_CODES.failure;
    return { text, json: { digest, released }, exitCode };
  } catch (error) {
    const text = `Cannot ask ${controlUrl}: ${(error as Error).message}`;
    return { text, json: { error: text }, exitCode: EXIT_CODES.failure };
  }
}

function formatSummary(status: GatewayStatus): string {
  const shares = status.shares.map(({ region, share }) =>
    `${region} ${share.toFixed(2)}`
  ).join(", ");
  return [
    `entry     ${status.id} (${status.zone}, ${status.region}), ${status.state}`,
    `document  version ${status.documentVersion}, picture ${
      status.catalogueAgeMs === undefined
        ? "never confirmed"
        : `${Math.round(status.catalogueAgeMs)} ms old`
    }`,
    `picture   revision ${status.catalogueRevision} of epoch ${status.catalogueEpoch}`,
    `requests  ${status.requests}, of them waiting ${status.queued}`,
    `callers   sent elsewhere: ${shares === "" ? "none" : shares}`,
    `features  ${(status.features ?? []).join(", ") || "none"}`,
  ].join("\n");
}

function formatEndpoints({ endpoints }: GatewayStatus): string {
  return formatTable(
    ["ENDPOINT", "SERVICE", "STATE", "REQUESTS", "PREFILL", "FAILURES"],
    endpoints.map((endpoint) => [
      endpoint.id,
      endpoint.service,
      [
        endpoint.state,
        ...endpoint.usable ? [] : ["not usable"],
        ...endpoint.leaving === true ? ["leaving"] : [],
        ...endpoint.cold ? ["cold"] : [],
        ...endpoint.limitPerSecond === undefined
          ? []
          : [`${endpoint.limitPerSecond} requests/s`],
        ...(endpoint.slowdown ?? 1) < MIN_SHOWN_SLOWDOWN
          ? []
          : [`slower by ${endpoint.slowdown}`],
      ].join(", "),
      endpoint.requests,
      endpoint.prefillTokens,
      endpoint.failureRate.toFixed(2),
    ]),
  );
}

function formatSizes({ sizes }: GatewayStatus): string {
  return sizes === undefined || sizes.length === 0 ? "" : formatTable(
    ["ROUTE", "SIZE IN", "UP TO", "COMPLETE", "UNFINISHED", "UNSERVED"],
    sizes.map(({ route, measure, upTo, complete, unfinished, unserved }) => [
      route,
      measure,
      upTo,
      complete,
      unfinished,
      unserved,
    ]),
  );
}

function formatHeldRequests({ held }: GatewayStatus): string {
  return held.length === 0 ? "" : formatTable(
    ["HELD BACK", "CALLER", "SERVICE", "SOFTWARE", "TERM", "SECONDS LEFT"],
    held.map(({ digest, caller, service, versions, term, remainingMs }) => [
      digest,
      caller ?? "any",
      service,
      versions.join(", "),
      term,
      Math.round(remainingMs / MS_PER_SECOND),
    ]),
  );
}

function findProblems(status: GatewayStatus): string[] {
  const age = status.catalogueAgeMs ?? Infinity;
  return [
    ...status.documentVersion === 0 ? ["no document yet"] : [],
    ...age > STALE_CATALOGUE_MS ? ["the store does not answer"] : [],
    ...status.endpoints.filter(({ state, usable, leaving }) =>
      state === "ready" && !usable && leaving !== true
    ).map(({ id }) => `endpoint ${id} is ready and not usable`),
    ...status.held.map(({ digest, service }) =>
      `request ${digest} is held back: endpoints of ${service} ended under it`
    ),
  ];
}
