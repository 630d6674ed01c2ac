/**
 * Starts one stand-in as a separate process: `node playground/dist/stand_ins/main.js --kind engine`.
 *
 * @module
 */
import meow from "meow";
import { ConfigurationService } from "./configuration_service.ts";
import { Engine } from "./engine.ts";
import type { EngineOptions } from "./engine_options.ts";
import { type PlainBehaviour, PlainService } from "./plain_service.ts";
import type { StandIn } from "./stand_in.ts";
import { VmList } from "./vm_list.ts";
import { WeightStore } from "./weight_store.ts";

const EXIT_USAGE = 2;

const cli = meow(
  `
  Usage
    $ node stand_ins/main.js --kind KIND [--options JSON]

  Options
    --kind     configuration, vm-list, weight-store, engine or plain
    --options  options of that kind
`,
  {
    importMeta: import.meta,
    flags: {
      kind: { type: "string", isRequired: true },
      options: { type: "string", default: "{}" },
    },
  },
);

/** Creates a stand-in; returns `undefined` for an unknown kind. */
function createStandIn(kind: string, options: object): StandIn | undefined {
  switch (kind) {
    case "configuration":
      return new ConfigurationService();
    case "vm-list":
      return new VmList(options as { lagMs?: number });
    case "weight-store":
      return new WeightStore(options as { perMinute?: number });
    case "engine":
      return new Engine(options as Partial<EngineOptions>);
    case "plain":
      return new PlainService(options as Partial<PlainBehaviour>);
    default:
      return undefined;
  }
}

const standIn = createStandIn(
  cli.flags.kind,
  JSON.parse(cli.flags.options) as object,
);
if (standIn === undefined) {
  console.error(`Cannot start a stand-in of kind "${cli.flags.kind}"`);
  process.exit(EXIT_USAGE);
}
console.log(
  JSON.stringify({ kind: cli.flags.kind, url: await standIn.start() }),
);
const stop = (): void => process.exit(0);
process.on("SIGTERM", stop);
process.on("SIGINT", stop);
