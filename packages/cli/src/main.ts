#!/usr/bin/env node
/**
 * `sassafrasstep`: checks configuration texts and shows the state of the fleet.
 *
 * Exit codes: 0 success; 1 the text is invalid, the fleet is not healthy or an entry could not be
 * reached; 2 the command line is invalid.
 *
 * @module
 */
import meow from "meow";
import {
  checkFile,
  diffFiles,
  explainRequest,
  FleetClient,
  releaseRequest,
  showEntries,
  showGateway,
  showLosses,
  showMetrics,
  showStatus,
} from "./commands/index.ts";
import { type CommandResult, EXIT_CODES } from "./output/index.ts";

const cli = meow(
  `
  Usage
    $ sassafrasstep check FILE             check an operators' text
    $ sassafrasstep diff OLD NEW           list what NEW would change
    $ sassafrasstep status                 the whole fleet, with its problems
    $ sassafrasstep entries                entries and their addresses
    $ sassafrasstep explain REQUEST-ID     each decision on a request
    $ sassafrasstep metrics                histograms and counters
    $ sassafrasstep gateway URL            what an entry before routes believes
    $ sassafrasstep release URL DIGEST     end the hold of a request that ended endpoints
    $ sassafrasstep losses FILE...         why requests were late or not served, from collected lines

  Options
    --control URL      control address of any entry
    --deployment NAME  name of the deployment
    --json             print JSON

  Environment
    SASSAFRASSTEP_SECRET  the deployment's secret
`,
  {
    importMeta: import.meta,
    flags: {
      control: { type: "string" },
      deployment: { type: "string" },
      json: { type: "boolean", default: false },
    },
  },
);

await main();

async function main(): Promise<void> {
  try {
    const result = await runCommand();
    console.log(cli.flags.json ? JSON.stringify(result.json) : result.text);
    process.exitCode = result.exitCode;
  } catch (error) {
    console.error((error as Error).message);
    process.exitCode = EXIT_CODES.usage;
  }
}

async function runCommand(): Promise<CommandResult> {
  const [command, ...args] = cli.input;
  switch (command) {
    case "check":
      return checkFile(argument(args, 0, "FILE"));
    case "diff":
      return diffFiles(argument(args, 0, "OLD"), argument(args, 1, "NEW"));
    case "status":
      return await withFleet(showStatus);
    case "entries":
      return await withFleet(showEntries);
    case "metrics":
      return await withFleet(showMetrics);
    case "gateway":
      return await showGateway(argument(args, 0, "URL"));
    case "release":
      return await releaseRequest(
        argument(args, 0, "URL"),
        argument(args, 1, "DIGEST"),
      );
    case "losses":
      return showLosses(args);
    case "explain": {
      const request = argument(args, 0, "REQUEST-ID");
      return await withFleet((fleet) => explainRequest(fleet, request));
    }
    default:
      throw new Error(
        `Cannot run "${
          command ?? ""
        }": use check, diff, status, entries, explain, metrics, gateway, release or losses`,
      );
  }
}

async function withFleet(
  run: (fleet: FleetClient) => Promise<CommandResult>,
): Promise<CommandResult> {
  const { control, deployment } = cli.flags;
  const secret = process.env["SASSAFRASSTEP_SECRET"];
  if (
    control === undefined || deployment === undefined || secret === undefined
  ) {
    throw new Error(
      "Cannot ask the fleet: set --control, --deployment and SASSAFRASSTEP_SECRET",
    );
  }
  const fleet = new FleetClient({ controlUrl: control, deployment, secret });
  try {
    return await run(fleet);
  } finally {
    await fleet.close();
  }
}

function argument(
  args: readonly string[],
  index: number,
  name: string,
): string {
  const value = args[index];
  if (value === undefined) {
    throw new Error(`Cannot run the command: ${name} is missing`);
  }
  return value;
}
