#!/usr/bin/env node
/**
 * `sassafrasstepd`: runs an entry.
 *
 * Exit codes: 0 after a graceful stop, or for valid settings with `--check`; 1 if the entry failed to start;
 * 2 for invalid settings or command line arguments; 3 if a second signal interrupted the stop.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { formatFault } from "@sassafrasstep/core";
import meow from "meow";
import VError from "verror";
import { Entry } from "./entry/index.ts";
import { Logger } from "./logs/index.ts";
import { parseSettings, type Settings } from "./settings/index.ts";

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
const EXIT_INTERRUPTED = 3;

const cli = meow(
  `
  Usage
    $ sassafrasstepd --settings FILE [--check]

  Options
    --settings FILE  settings of this entry, INI
    --check          check the settings and exit
`,
  {
    importMeta: import.meta,
    flags: {
      settings: { type: "string", isRequired: true },
      check: { type: "boolean", default: false },
    },
  },
);

await main();

async function main(): Promise<void> {
  const settings = loadSettings(cli.flags.settings);
  if (settings === undefined) {
    process.exitCode = EXIT_USAGE;
    return;
  }
  if (cli.flags.check) {
    console.log(`Settings of entry "${settings.id}" are in order`);
    return;
  }
  await runEntry(settings);
}

function loadSettings(path: string): Settings | undefined {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (cause) {
    console.error(
      new VError(cause as Error, 'Cannot read settings "%s"', path).message,
    );
    return undefined;
  }
  const result = parseSettings(text);
  if (result.ok) {
    return result.settings;
  }
  result.faults.forEach((fault) =>
    console.error(`${path}: ${formatFault(fault)}`)
  );
  return undefined;
}

async function runEntry(settings: Settings): Promise<void> {
  const { id, zone, region } = settings;
  const logger = new Logger(settings.logLevel, { entry: id, zone, region });
  const entry = new Entry(settings, logger);
  try {
    await entry.start();
  } catch (cause) {
    console.error(new VError(cause as Error, "Cannot start the entry").message);
    process.exit(EXIT_FAILED);
  }
  stopOnSignals(entry, logger);
  await entry.stopped;
  process.exit(0);
}

function stopOnSignals(entry: Entry, logger: Logger): void {
  let stopRequested = false;
  const onSignal = (): void => {
    if (stopRequested) {
      logger.warn("stop", "Interrupted by a second signal.", {
        requests: entry.unansweredRequests,
      });
      process.exit(EXIT_INTERRUPTED);
    }
    stopRequested = true;
    entry.stop();
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
}
