/**
 * The commands `status`, `entries`, `explain` and `metrics`, which query the fleet.
 *
 * @module
 */
import { formatRevision } from "@sassafrasstep/core";
import type { MetricsReport, Status } from "@sassafrasstep/daemon";
import {
  type CommandResult,
  EXIT_CODES,
  formatTable,
} from "../output/index.ts";
import type { EntryReply, FleetClient } from "./fleet_client.ts";

/** Shows the entries of the fleet with their revisions and peers, the endpoints, and the problems. */
export async function showStatus(fleet: FleetClient): Promise<CommandResult> {
  const replies = await fleet.queryAll((client) => client.status.query());
  const statuses = replies.flatMap((reply) => reply.ok ? [reply.value] : []);
  const newestRevision = Math.max(
    0,
    ...statuses.map(({ revision }) => revision),
  );
  const problems = [
    ...unreachableEntries(replies),
    ...statuses.flatMap((status) => findProblems(status, newestRevision)),
  ];
  const sections = [
    formatEntryTable(statuses),
    formatEndpointTable(statuses),
    formatProblems(problems),
  ];
  return {
    text: sections.join("\n\n"),
    json: { entries: replies, problems },
    exitCode: problems.length === 0 ? EXIT_CODES.ok : EXIT_CODES.failure,
  };
}

/** Shows the entries with their addresses and phases. */
export async function showEntries(fleet: FleetClient): Promise<CommandResult> {
  const replies = await fleet.queryAll((client) => client.status.query());
  const rows = replies.map((reply) =>
    reply.ok
      ? [
        reply.value.id,
        reply.value.region,
        reply.value.zone,
        reply.value.phase,
        reply.value.url,
      ]
      : [reply.id, "", "", "unreachable", reply.controlUrl]
  );
  return {
    text: formatTable(["ENTRY", "REGION", "ZONE", "PHASE", "URL"], rows),
    json: rows.map(([id, region, zone, phase, url]) => ({
      id,
      region,
      zone,
      phase,
      url,
    })),
    exitCode: replies.every(({ ok }) => ok)
      ? EXIT_CODES.ok
      : EXIT_CODES.failure,
  };
}

/** Shows each decision that entries made on a request. */
export async function explainRequest(
  fleet: FleetClient,
  request: string,
): Promise<CommandResult> {
  const replies = await fleet.queryAll((client) =>
    client.explain.query(request)
  );
  const found = replies.flatMap((reply) =>
    reply.ok && reply.value !== null
      ? [{ id: reply.id, steps: reply.value }]
      : []
  );
  const missing = unreachableEntries(replies);
  if (found.length === 0) {
    const text = [`No entry remembers request "${request}"`, ...missing].join(
      "\n",
    );
    return { text, json: { found: [], missing }, exitCode: EXIT_CODES.failure };
  }
  const rows = found.flatMap(({ id, steps }) =>
    steps.map((
      { afterMs, text, fields },
    ) => [id, `${afterMs} ms`, text, JSON.stringify(fields)])
  );
  return {
    text: formatTable(["ENTRY", "AFTER", "DECISION", "DETAILS"], rows),
    json: { found, missing },
    exitCode: missing.length === 0 ? EXIT_CODES.ok : EXIT_CODES.failure,
  };
}

/** Shows the latency summaries of every entry and the counters of the whole fleet. */
export async function showMetrics(fleet: FleetClient): Promise<CommandResult> {
  const replies = await fleet.queryAll((client) => client.metrics.query());
  const reports = replies.flatMap((reply) =>
    reply.ok ? [{ id: reply.id, ...reply.value }] : []
  );
  return {
    text: [
      formatSummaryTable(reports),
      formatCounterTable(reports),
      formatProblems(unreachableEntries(replies)),
    ].join("\n\n"),
    json: { entries: replies },
    exitCode: replies.every(({ ok }) => ok)
      ? EXIT_CODES.ok
      : EXIT_CODES.failure,
  };
}

function formatEntryTable(statuses: readonly Status[]): string {
  const rows = statuses.map((status) => [
    status.id,
    status.zone,
    status.phase,
    formatRevision(status.revision),
    status.whyNotNewer,
    `${
      status.members.filter(({ health }) => health === "live").length
    }/${status.members.length}`,
    status.active,
    status.queued,
    status.usedKeys,
  ]);
  const heading = [
    "ENTRY",
    "ZONE",
    "PHASE",
    "REVISION",
    "WHY NOT NEWER",
    "LIVE PEERS",
    "ACTIVE",
    "QUEUED",
    "KEYS",
  ];
  return formatTable(heading, rows);
}

/** Lists each endpoint once, as reported by the entry that sees it in the worst state. */
function formatEndpointTable(statuses: readonly Status[]): string {
  const statesWorstFirst = ["draining", "suspect", "live"];
  const worst = new Map<string, Status["endpoints"][number]>();
  for (const endpoint of statuses.flatMap(({ endpoints }) => endpoints)) {
    const known = worst.get(endpoint.id);
    if (
      known === undefined ||
      statesWorstFirst.indexOf(endpoint.state) <
        statesWorstFirst.indexOf(known.state)
    ) {
      worst.set(endpoint.id, endpoint);
    }
  }
  const rows = [...worst.values()].map((
    { id, pool, zone, state, why, running, slots, model },
  ) => [id, pool, zone, state, why, `${running}/${slots}`, model]);
  return formatTable([
    "ENDPOINT",
    "POOL",
    "ZONE",
    "STATE",
    "WHY",
    "BUSY",
    "MODEL",
  ], rows);
}

function findProblems(status: Status, newestRevision: number): string[] {
  const problems: string[] = [];
  if (status.phase !== "ready") {
    problems.push(`Entry "${status.id}" is ${status.phase}`);
  }
  if (status.whyNotNewer !== "") {
    problems.push(`Entry "${status.id}": ${status.whyNotNewer}`);
  } else if (status.revision < newestRevision) {
    problems.push(
      `Entry "${status.id}" holds revision ${
        formatRevision(status.revision)
      }, not ${formatRevision(newestRevision)}`,
    );
  }
  for (
    const member of status.members.filter(({ health }) => health !== "live")
  ) {
    problems.push(
      `Entry "${status.id}" has not heard "${member.id}" for ${member.silentMs} ms`,
    );
  }
  for (
    const endpoint of status.endpoints.filter(({ state }) =>
      state === "suspect"
    )
  ) {
    problems.push(
      `Entry "${status.id}" finds endpoint "${endpoint.id}" suspect: ${endpoint.why}`,
    );
  }
  return problems;
}

function unreachableEntries(replies: readonly EntryReply<unknown>[]): string[] {
  return replies.flatMap((reply) =>
    reply.ok ? [] : [
      `Cannot reach entry "${reply.id}" at ${reply.controlUrl}: ${reply.error}`,
    ]
  );
}

function formatProblems(problems: readonly string[]): string {
  return problems.length === 0
    ? "The fleet is healthy"
    : ["Problems:", ...problems].join("\n");
}

function formatSummaryTable(
  reports: readonly ({ id: string } & MetricsReport)[],
): string {
  const rows = reports.flatMap(({ id, summaries }) =>
    summaries.map((
      item,
    ) => [
      id,
      item.measure,
      item.customer,
      item.requestClass,
      item.count,
      item.p50,
      item.p95,
      item.p99,
    ])
  );
  return formatTable([
    "ENTRY",
    "MEASURE",
    "CUSTOMER",
    "CLASS",
    "COUNT",
    "P50 MS",
    "P95 MS",
    "P99 MS",
  ], rows);
}

function formatCounterTable(
  reports: readonly ({ id: string } & MetricsReport)[],
): string {
  const totals = new Map<string, number>();
  for (
    const { name, label, value } of reports.flatMap(({ counts }) => counts)
  ) {
    const key = label === "" ? name : `${name} ${label}`;
    totals.set(key, (totals.get(key) ?? 0) + value);
  }
  return formatTable(["COUNTER", "WHOLE FLEET"], [...totals].sort());
}
