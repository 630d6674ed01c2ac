/**
 * Entries in the test's process, with the platform's protocol and real sockets, whose log lines are recorded.
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

/** A log line; `text` is the part and the message, separated by a colon. */
export interface LogLine {
  readonly text: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Records lines instead of writing them. */
class RecordingLogger extends Logger {
  readonly lines: LogLine[] = [];

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

/** Placement, addresses and settings of an entry. */
export interface EntryOptions {
  readonly name: string;
  readonly host: string;
  readonly zone: string;
  readonly region: string;
  /** The same for all entries. */
  readonly peerPort: number;
  readonly seeds: readonly string[];
  /** Region of each zone. */
  readonly zones: Readonly<Record<string, string>>;
  readonly storeAddress: string;
  /** Time limit of a planned stop. */
  readonly stopSeconds?: number;
  /** Retries that all entries may make together beside a fraction of the requests. */
  readonly retrySlack?: number | undefined;
}

/** An entry in this process. */
export class LocalEntry {
  readonly #logger = new RecordingLogger();
  readonly #entry: GatewayEntry;
  /** `host:port` for callers. */
  readonly callers: string;
  readonly readiness: string;
  readonly control: string;

  private constructor(text: string, options: EntryOptions, ports: number[]) {
    const result = parseGatewaySettings(text);
    if (!result.ok) {
      throw new Error(`Cannot read settings: ${JSON.stringify(result.faults)}`);
    }
    this.callers = `${options.host}:${ports[0]}`;
    this.readiness = `${options.host}:${ports[2]}`;
    this.control = `${options.host}:${ports[3]}`;
    this.#entry = new GatewayEntry(result.settings, {
      logger: this.#logger,
      platform: {
        callers: new PlatformCallerProtocol(),
        endpoints: new PlatformEndpointProtocol(),
        source: new StoreSource(options.storeAddress, () => {}),
        directory: createDirectoryHandler,
        readiness: createReadinessHandler,
      },
    });
  }

  /** Starts an entry. */
  static async start(options: EntryOptions): Promise<LocalEntry> {
    const ports = allocatePorts(PORTS_PER_ENTRY);
    const entry = new LocalEntry(
      formatSettings(options, ports),
      options,
      ports,
    );
    await entry.#entry.start();
    return entry;
  }

  /** The recorded log lines, or only those with the given text. */
  lines(text?: string): readonly LogLine[] {
    return this.#logger.lines.filter((line) =>
      text === undefined || line.text === text
    );
  }

  /** Performs a planned stop. */
  async stop(): Promise<void> {
    this.#entry.stop();
    await this.#entry.stopped;
  }
}

/** Number of ports that an entry needs besides the port for peers. */
export const PORTS_PER_ENTRY = 4;
const DEFAULT_STOP_SECONDS = 8;
const DEFAULT_RETRY_SLACK = 10_000;

/** Formats the settings file of an entry. */
export function formatSettings(
  options: EntryOptions,
  ports: readonly number[],
): string {
  const { host, zones, stopSeconds = DEFAULT_STOP_SECONDS } = options;
  const [callers, directory, readiness, control] = ports;
  return `[entry]
id = ${options.name}
zone = ${options.zone}
region = ${options.region}
[addresses]
callers = ${host}:${callers}
directory = ${host}:${directory}
readiness = ${host}:${readiness}
control = ${host}:${control}
peers = ${host}:${options.peerPort}
[peers]
seeds = ${options.seeds.join(", ")}
[zones]
${
    Object.entries(zones).map(([zone, region]) => `${zone} = ${region}`).join(
      "\n",
    )
  }
[store]
address = ${options.storeAddress}
[bounds]
repeat_slack = ${options.retrySlack ?? DEFAULT_RETRY_SLACK}
stop_s = ${stopSeconds}
`;
}

/** Below the system's ephemeral ports, so that no connection occupies a port before its entry listens on it. */
const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
let allocatedPorts = 0;

/** Allocates ports in sequence; no other process listens on the loopback addresses of this one. */
export function allocatePorts(count: number): number[] {
  return Array.from(
    { length: count },
    () => FIRST_PORT + allocatedPorts++ % PORT_COUNT,
  );
}
