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
  createDirectory,
  createReadiness,
  PlatformCallers,
  PlatformEndpoints,
  StoreSource,
} from "@sassafrasstep/platform";
import {
  type ByteEntry,
  freePorts,
  type LocalPlace,
  PORTS,
  settingsOf,
} from "./entry_place.ts";

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

/** One entry. */
export class LocalEntry implements ByteEntry {
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
        callers: new PlatformCallers(),
        endpoints: new PlatformEndpoints(),
        source: new StoreSource(place.storeAddress, () => {}),
        directory: createDirectory,
        readiness: createReadiness,
      },
    });
  }

  /** Starts one. */
  static async start(place: LocalPlace): Promise<LocalEntry> {
    const ports = await freePorts(place.host, PORTS);
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
