/**
 * Where an entry stands, and the settings that say so.
 *
 * @module
 */
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";

/** Where an entry stands. */
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
}

/** An entry as callers and the platform reach it. */
export interface ByteEntry {
  /** Host and port for callers. */
  readonly callers: string;
  readonly readiness: string;
  readonly control: string;
  /** Ends it as planned. */
  stop(): Promise<void>;
}

/** Ports that an entry needs. */
export const PORTS = 4;

/** Its settings as their file has them. */
export function settingsOf(
  place: LocalPlace,
  ports: readonly number[],
): string {
  const { host, zones } = place;
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
stop_s = 8
`;
}

/** Ports of a host that are free just now. */
export async function freePorts(
  host: string,
  count: number,
): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    server.listen(0, host);
    await once(server, "listening");
    ports.push((server.address() as AddressInfo).port);
  }
  for (const server of servers) {
    server.close();
    await once(server, "close");
  }
  return ports;
}
