/**
 * Entries of one process, with the platform's protocol, real sockets and their lines kept.
 *
 * @module
 */
import {
  GatewayEntry,
  Logger,
  parseGatewaySettings,
} from "@sassafrasstep/daemon";
import {
  createDirectoryHandler,
  createReadinessHandler,
  PlatformCallerProtocol,
  PlatformEndpointProtocol,
  StoreSource,
} from "@sassafrasstep/platform";

/** One line of a log. */
export interface Line {
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Keeps lines in place of writing them. */
class LineLogger extends Logger {
  readonly lines: Line[] = [];

  constructor() {
    super("silent", {});
  }

  override info(
    part: string,
    text: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.lines.push({ text: `${part}: ${text}`, fields });
  }

  override warn(
    part: string,
    text: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.info(part, text, fields);
  }
}

/** Where an entry of this process stands. */
export interface LocalPlace {
  readonly name: string;
  readonly host: string;
  readonly zone: string;
  readonly region: string;
  /** The same on all entries. */
  readonly peerPort: number;
  readonly seeds: readonly string[];
  /** Region of each zone. */
  readonly zones: Readonly<Record<string, string>>;
  readonly storeAddress: string;
  /** Time that a planned stop may take. */
  readonly stopSeconds?: number;
}

/** One entry. */
export class LocalEntry {
  readonly #logger = new LineLogger();
  readonly #entry: GatewayEntry;
  /** Host and port for callers. */
  readonly callers: string;
  readonly readiness: string;
  readonly control: string;

  private constructor(text: string, place: LocalPlace, ports: number[]) {
    const result = parseGatewaySettings(text);
    if (!result.ok) {
      throw new Error(`Cannot read settings: ${JSON.stringify(result.faults)}`);
    }
    this.callers = `${place.host}:${ports[0]}`;
    this.readiness = `${place.host}:${ports[2]}`;
    this.control = `${place.host}:${ports[3]}`;
    this.#entry = new GatewayEntry(result.settings, {
      logger: this.#logger,
      platform: {
        callers: new PlatformCallerProtocol(),
        endpoints: new PlatformEndpointProtocol(),
        source: new StoreSource(place.storeAddress, () => {}),
        directory: createDirectoryHandler,
        readiness: createReadinessHandler,
      },
    });
  }

  /** Starts one. */
  static async start(place: LocalPlace): Promise<LocalEntry> {
    const ports = freePorts(PORTS);
    const entry = new LocalEntry(settingsOf(place, ports), place, ports);
    await entry.#entry.start();
    return entry;
  }

  /** Its lines, those that say a sentence where one is given. */
  lines(text?: string): readonly Line[] {
    return this.#logger.lines.filter((line) =>
      text === undefined || line.text === text
    );
  }

  /** Ends it as planned. */
  async stop(): Promise<void> {
    this.#entry.stop();
    await this.#entry.stopped;
  }
}

/** Ports of an entry beside the one for peers. */
export const PORTS = 4;
const STOP_SECONDS = 8;

/** The text of an entry's settings. */
export function settingsOf(
  place: LocalPlace,
  ports: readonly number[],
): string {
  const { host, zones, stopSeconds = STOP_SECONDS } = place;
  const [callers, directory, readiness, control] = ports;
  return `[entry]
id = ${place.name}
zone = ${place.zone}
region = ${place.region}
[addresses]
callers = ${host}:${callers}
directory = ${host}:${directory}
readiness = ${host}:${readiness}
control = ${host}:${control}
peers = ${host}:${place.peerPort}
[peers]
seeds = ${place.seeds.join(", ")}
[zones]
${
    Object.entries(zones).map(([zone, region]) => `${zone} = ${region}`).join(
      "\n",
    )
  }
[store]
address = ${place.storeAddress}
[bounds]
repeat_slack = 10000
stop_s = ${stopSeconds}
`;
}

/** Below the ports that the system hands out, so that no connection takes one before its entry does. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
let portsGiven = 0;

/** Ports that are free on the hosts of this process. */
export function freePorts(count: number): number[] {
  return Array.from(
    { length: count },
    () => FIRST_PORT + portsGiven++ % PORT_COUNT,
  );
}
