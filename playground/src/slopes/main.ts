/**
 * Measures how costs grow with sizes and prints the slopes as Markdown: `npm run slopes [-- --fleet]`.
 *
 * @module
 */
import { fitLine } from "./fit.ts";
import { measurePropagation, type PropagationResult } from "./fleet_spread.ts";
import { TARGET_FLEET_SIZE } from "./made_fleet.ts";
import { measureAll, newsBytes } from "./measurements.ts";
import type { SlopeMeasurement } from "./meter.ts";

const PERCENT = 100;
const FLEET_SIZES = [
  { regions: 3, zones: 6, entries: 8 },
  { regions: 8, zones: 20, entries: 130 },
  { regions: 22, zones: 61, entries: 530 },
];

console.log(formatSlopes(await measureAll()));
console.log(
  `\nNews of one zone with ${TARGET_FLEET_SIZE.models} services: ${
    newsBytes(TARGET_FLEET_SIZE.models)
  } bytes`,
);
if (process.argv.includes("--fleet")) {
  console.log(
    formatPropagation(
      FLEET_SIZES.map((fleet) =>
        measurePropagation({ ...TARGET_FLEET_SIZE, ...fleet })
      ),
    ),
  );
}

function formatSlopes(measurements: readonly SlopeMeasurement[]): string {
  const rows = measurements.map(({ name, per, unit, points }) => {
    const { base, slope, largestResidualShare } = fitLine(points);
    const measured = points.map(({ size, value }) =>
      `${formatShort(size)}: ${formatShort(value)}`
    ).join(", ");
    return `| ${name} | ${unit} | ${measured} | ${formatShort(base)} | ${
      formatShort(slope)
    } per ${per} | ${(largestResidualShare * PERCENT).toFixed(0)}% |`;
  });
  return [
    "| what | unit | measured (size: value) | base | slope | largest residual |",
    "| --- | --- | --- | --- | --- | --- |",
    ...rows,
  ]
    .join("\n");
}

function formatPropagation(results: readonly PropagationResult[]): string {
  const rows = results.map((result) =>
    `| ${result.entries} | ${result.configurationMs} | ${result.deathMs} | ${result.falseSuspects} | ${result.knownMembers} | ${
      formatShort(result.heartbeatsPerNodeSecond)
    } | ${formatShort(result.heartbeatsPerSecondOfBusiest)} | ${
      formatShort(result.messageBytesPerNodeSecond)
    } | ${formatShort(result.configurationCallsPerSecond)} | ${
      formatShort(result.cpuMicrosPerNodeSecond)
    } |`
  );
  return [
    "",
    "| entries | text in force everywhere, ms | silent death known in its region, ms | false suspects | members known, most | heartbeats sent /node/s | of the busiest | message bytes /node/s, both ways | configuration calls /s, fleet | core CPU us /node/s |",
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ...rows,
  ].join("\n");
}

function formatShort(value: number): string {
  return Math.abs(value) >= 100
    ? String(Math.round(value))
    : String(Number(value.toPrecision(3)));
}
