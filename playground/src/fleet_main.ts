/**
 * Starts a fleet, prints its addresses and, with `--hold`, keeps it running:
 * `npm run playground -- --hold --json [--deployment peachtree|mfuko]`.
 *
 * @module
 */
import meow from "meow";
import { Fleet, readBlueprint } from "./fleet/index.ts";

const CONTROL_ROUTES: Readonly<Record<string, readonly string[]>> = {
  configuration: [
    "PUT /control/text",
    "PUT /control/mode",
    "GET /control/calls",
  ],
  "vm-list": [
    "PUT /control/vms",
    "PUT /control/lag",
    "GET /v1/clients/entries",
  ],
  "weight-store": ["GET /control/loads"],
  engine: [
    "PUT /control/faults",
    "PUT /control/drain",
    "PUT /control/cold",
    "GET /control/state",
  ],
  plain: ["PUT /control/mode", "PUT /control/drain", "GET /control/runs"],
};

interface FleetDescription {
  readonly deployment: string;
  readonly entries: readonly object[];
  readonly stand_ins: readonly {
    readonly id: string;
    readonly kind: string;
    readonly pid: number;
    readonly zone: string;
    readonly region: string;
    readonly url: string;
    readonly control: readonly string[] | undefined;
  }[];
  readonly customers: readonly object[];
  readonly services: { readonly model: string; readonly plain: string };
}

const cli = meow(
  `
  Usage
    $ npm run playground -- [--hold] [--json] [--deployment peachtree|mfuko]

  Options
    --hold        keep the fleet running until SIGINT
    --json        print one JSON object on one line
    --deployment  the example deployment to start
`,
  {
    importMeta: import.meta,
    flags: {
      hold: { type: "boolean", default: false },
      json: { type: "boolean", default: false },
      deployment: {
        type: "string",
        choices: ["peachtree", "mfuko"],
        default: "peachtree",
      },
    },
  },
);

const fleet = new Fleet(
  readBlueprint(cli.flags.deployment as "peachtree" | "mfuko"),
);
const stop = async (): Promise<void> => {
  await fleet.stop();
  process.exit(0);
};
process.once("SIGINT", () => void stop());
process.once("SIGTERM", () => void stop());
await fleet.start();
printDescription();
if (!cli.flags.hold) {
  await stop();
}

function printDescription(): void {
  const description = describeFleet();
  if (cli.flags.json) {
    console.log(JSON.stringify(description));
    return;
  }
  console.table(description.entries);
  console.table(
    description.stand_ins.map(({ id, kind, pid, zone, url }) => ({
      id,
      kind,
      pid,
      zone,
      url,
    })),
  );
  console.table(description.customers);
}

function describeFleet(): FleetDescription {
  const { blueprint } = fleet;
  return {
    deployment: blueprint.name,
    entries: fleet.entries.map((
      { id, child, zone, region, url, controlUrl },
    ) => ({
      id,
      pid: child.pid,
      zone,
      region,
      url,
      control_url: controlUrl,
    })),
    stand_ins: fleet.standIns.map(({ id, kind, child, zone, region, url }) => ({
      id,
      kind,
      pid: child.pid,
      zone,
      region,
      url,
      control: CONTROL_ROUTES[kind],
    })),
    customers: blueprint.customers,
    services: { model: blueprint.modelService, plain: blueprint.plainService },
  };
}
