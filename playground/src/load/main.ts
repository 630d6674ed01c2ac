/**
 * Runs loads and prints their summaries: `npm run load -- CASE... [--seeds N] [--on A,B] [--off A,B] [--json]`.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import {
  FEATURE_NAMES,
  type FeatureName,
  type FeatureSetting,
} from "@sassafrasstep/core";
import meow from "meow";
import { type LoadReport, reportLoad, runLoad } from "./index.ts";

const SIZE_CLASSES = ["largest", "large", "others"] as const;
const FOLDER = new URL("../../loads/", import.meta.url);

const cli = meow(
  `
  Usage
    $ npm run load -- CASE...    run loads of playground/loads, by name

  Options
    --seeds N  number of seeds for traffic and entries, default 4
    --on A,B   optional decisions that are in use in any case
    --off A,B  optional decisions that are not in use
    --json     print JSON
`,
  {
    importMeta: import.meta,
    flags: {
      seeds: { type: "number", default: 4 },
      on: { type: "string", default: "" },
      off: { type: "string", default: "" },
      json: { type: "boolean", default: false },
    },
  },
);

const features = {
  ...featuresOf(cli.flags.on, "on"),
  ...featuresOf(cli.flags.off, "off"),
};

for (const name of cli.input) {
  const text = readFileSync(new URL(`${name}.load`, FOLDER), "utf8");
  const reports: LoadReport[] = [];
  for (let seed = 1; seed <= cli.flags.seeds; seed++) {
    reports.push(reportLoad(runLoad(text, { seed, loadSetting, features })));
  }
  console.log(
    cli.flags.json
      ? JSON.stringify({ name, reports })
      : describe(name, reports),
  );
}

function loadSetting(name: string): string {
  return readFileSync(new URL(`${name}.setting`, FOLDER), "utf8");
}

/** Earned share of the worst customers, and of each in the order of their names. */
function describeCustomers(
  reports: readonly LoadReport[],
  mean: (metric: (report: LoadReport) => number) => string,
): string[] {
  const names = Object.keys(reports[0]!.customers);
  return names.length === 0 ? [] : [
    `  worst tenth of customers ${
      mean(({ worstCustomers }) => worstCustomers)
    }, of those within their usual ${
      mean(({ worstUsualCustomers }) => worstUsualCustomers)
    }; ${
      names.map((name) =>
        `${name} ${mean(({ customers }) => customers[name]?.earned ?? 0)}`
      ).join(", ")
    }`,
  ];
}

function featuresOf(
  list: string,
  setting: FeatureSetting,
): Partial<Record<FeatureName, FeatureSetting>> {
  const names = list.split(",").filter((name) => name !== "");
  const unknown = names.find((name) =>
    !FEATURE_NAMES.some((feature) => feature === name)
  );
  if (unknown !== undefined) {
    throw new Error(
      `Unknown feature "${unknown}": use ${FEATURE_NAMES.join(", ")}`,
    );
  }
  return Object.fromEntries(names.map((name) => [name, setting]));
}

function describe(name: string, reports: readonly LoadReport[]): string {
  const mean = (metric: (report: LoadReport) => number): string =>
    (reports.reduce((sum, report) => sum + metric(report), 0) / reports.length)
      .toFixed(3);
  const kinds = Object.keys(reports[0]!.kinds);
  return [
    `${name}: earned ${mean(({ all }) => all.earned)} (${
      reports.map(({ all }) => all.earned.toFixed(3)).join(", ")
    }), worst windows ${mean(({ worstWindows }) => worstWindows)}`,
    ...describeCustomers(reports, mean),
    ...kinds.map((kind) => {
      const formatShare = (
        end: "on_time" | "late" | "refused" | "failed" | "left",
      ) =>
        `${end} ${
          mean(({ kinds }) =>
            kinds[kind]!.ends[end] / Math.max(1, kinds[kind]!.requests)
          )
        }`;
      const first = `first event ${
        mean(({ kinds }) => kinds[kind]!.firstMedian)
      }, 95th ${mean(({ kinds }) => kinds[kind]!.firstP95)} ms, held ${
        mean(({ kinds }) => kinds[kind]!.heldMean)
      } ms if refused`;
      return `  ${kind.padEnd(8)} earned ${
        mean(({ kinds }) => kinds[kind]!.earned)
      }, served by size ${
        SIZE_CLASSES.map((size) =>
          `${size} ${mean(({ servedBySize }) => servedBySize[kind]![size])}`
        ).join(", ")
      }, ${formatShare("on_time")}, ${formatShare("late")}, ${
        formatShare("refused")
      }, ${formatShare("failed")}, ${formatShare("left")}, ${first}`;
    }),
    `  read ${
      mean(({ readThousands }) => readThousands)
    } thousand tokens, kept ${mean(({ keptThousands }) => keptThousands)}`,
    `  relayed ${mean(({ relayedShare }) => relayedShare)}, early ${
      mean(({ earlyShare }) => earlyShare)
    }`,
  ].join("\n");
}
