/**
 * Measures slopes and prints them as Markdown: `npm run slopes [-- --fleet]`.
 *
 * @module
 */
import { fitLine } from "./fit.ts";
import { measureSpread, type Spread } from "./fleet_spread.ts";
import { TARGET } from "./made_fleet.ts";
import { measureAll, newsBytes } from "./measurements.ts";
import type { Measurement } from "./meter.ts";

const PERCENT = 100;
const FLEETS = [
  { regions: 3, zones: 6, entries: 8 },
  { regions: 8, zones: 20, entries: 130 },
  { regions: 22, zones: 61, entries: 530 },
];

console.log(formatSlopes(await measureAll()));
console.log(
  `\nNews of one zone with ${TARGET.models} services: ${
    newsBytes(TARGET.models)
  } bytes`,
);
if (process.argv.includes("--fleet")) {
  console.log(
    formatSpreads(
      FLEETS.map((fleet) => measureSpread({ ...TARGET, ...fleet })),
    ),
  );
}

function formatSlopes(measurements: readonly Measurement[]): string {
  const rows = measurements.map(({ name, per, unit, points }) => {
    const { base, slope, residual } = fitLine(points);
    const measured = points.map(({ size, value }) =>
      `${short(size)}: ${short(value)}`
    ).join(", ");
    return `| ${name} | ${unit} | ${measured} | ${short(base)} | ${
      short(slope)
    } per ${per} | ${(residual * PERCENT).toFixed(0)}% |`;
  });
  return [
    "| what | unit | measured (size: value) | base | slope | largest residual |",
    "| --- | --- | --- | --- | --- | --- |",
    ...rows,
  ]
    .join("\n");
}

function formatSpreads(spreads: readonly Spread[]): string {
  const rows = spreads.map((spread) =>
    `| ${spread.entries} | ${spread.configurationMs} | ${spread.deathMs} | ${spread.falseSuspects} | ${spread.knownMembers} | ${
      short(spread.heartbeatsPerNodeSecond)
    } | ${short(spread.heartbeatsOfBusiest)} | ${
      short(spread.messageBytesPerNodeSecond)
    } | ${short(spread.configurationCallsPerSecond)} | ${
      short(spread.cpuMicrosPerNodeSecond)
    } |`
  );
  return [
    "",
    "| entries | text in force everywhere, ms | silent death known in its region, ms | false suspects | members known, most | heartbeats sent /node/s | of the busiest | message bytes /node/s, both ways | configuration calls /s, fleet | core CPU us /node/s |",
    "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ...rows,
  ].join("\n");
}

function short(value: number): string {
  return Math.abs(value) >= 100
    ? String(Math.round(value))
    : String(Number(value.toPrecision(3)));
}
