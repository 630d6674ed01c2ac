/**
 * Entries as processes, ledger endpoints and a store, with a link of its own between each two of them.
 *
 * @module
 */
import { fileURLToPath } from "node:url";
import { API_PATHS, STORE_KEYS } from "@sassafrasstep/platform";
import {
  allocatePorts,
  eventually,
  NETWORK_PREFIX,
  ProcessEntry,
  route,
  StandInStore,
} from "@sassafrasstep/playground/bytes";
import {
  type LinkDirection,
  LINKS_VARIABLE,
  type LinkState,
  TcpLink,
} from "@sassafrasstep/playground/links";
import { ROUTES } from "./action_plan.ts";
import { BodyWatch } from "./body_watch.ts";
import type { DocumentFields } from "./change_faults.ts";
import type { LinkSet } from "./action_faults.ts";
import type { RunPlan } from "./behaviours.ts";
import {
  type EndpointContext,
  LedgerEndpoint,
  type ServiceName,
} from "./ledger_endpoint.ts";

const PROGRAM = fileURLToPath(
  new URL(
    "../../../playground/dist/links/linked_entry_main.js",
    import.meta.url,
  ),
);
const FIRST_HOST_NUMBER = 61;
const REGION_DELAY_MS = 40;
const SLOTS = { core: 6, model: 64 };
const STOP_SECONDS = 8;

/** Processes of a fleet. */
export interface LinkedFleetPlan {
  /** Region of each entry. */
  readonly entries: readonly string[];
  readonly endpoints: readonly {
    readonly service: ServiceName;
    readonly region: string;
  }[];
  /** The document at the start. */
  readonly document: DocumentFields;
}

/** A link with the address of its proxy, and the host of the datagrams beside it. */
interface Link {
  readonly tcp: TcpLink;
  readonly proxy: string;
  /** Host to which datagrams take the same path, `undefined` where there are none. */
  readonly host?: string;
}

/** Links of one entry. */
interface EntryLinks {
  readonly peers: ReadonlyMap<number, Link>;
  readonly endpoints: readonly Link[];
  readonly store: Link;
  /** From callers to the entry. */
  readonly callers: Link;
}

/** A fleet whose processes reach each other by links that can fail one by one. */
export class LinkedFleet {
  readonly store = new StandInStore();
  readonly endpoints: LedgerEndpoint[];
  readonly entries: ProcessEntry[] = [];
  readonly bodyWatch = new BodyWatch();
  readonly #plan: LinkedFleetPlan;
  readonly #links: EntryLinks[] = [];
  readonly #senders = new Map<number, string>();
  /** Cuts that hold, by entry and by proxy or host. */
  readonly #cuts: Map<string, number>[] = [];
  #version = 1;
  #sequence = 1;

  constructor(
    plan: LinkedFleetPlan,
    context: Pick<EndpointContext, "ledger"> & {
      /** The plan for the next request of a call that reaches an endpoint. */
      readonly plan: (call: string) => RunPlan;
    },
  ) {
    this.#plan = plan;
    this.endpoints = plan.endpoints.map(({ service }, index) =>
      new LedgerEndpoint(
        { id: `i-${index + 1}`, service, slots: SLOTS[service] },
        {
          ledger: context.ledger,
          plan: (call, { endpoint, port }) => {
            context.ledger.arrivals.push({
              call,
              endpoint,
              entry: this.#entryOf(port),
              at: performance.now(),
            });
            return context.plan(call);
          },
          entryOf: (port) => this.#entryOf(port),
        },
      )
    );
  }

  /** Name of the entry that opened a connection. */
  #entryOf(port: number): string {
    return this.#senders.get(port) ?? "unknown";
  }

  /** Starts all processes and waits until the entries are ready. */
  async start(): Promise<void> {
    const storeAddress = await this.store.listen();
    await Promise.all(this.endpoints.map((endpoint) => endpoint.listen()));
    this.endpoints.forEach((_, index) => this.publishEndpoint(index));
    this.publishDocument(this.#plan.document);
    const [peerPort] = allocatePorts(1);
    const hosts = this.#plan.entries.map((_, index) =>
      `${NETWORK_PREFIX}.${FIRST_HOST_NUMBER + index}`
    );
    for (const index of hosts.keys()) {
      await this.#startEntry(index, {
        hosts,
        peerPort: peerPort!,
        storeAddress,
      });
    }
    await Promise.all(this.entries.map(waitUntilReady));
  }

  /** Address at which callers reach an entry. */
  callersOf(entry: number): string {
    return this.#links[entry]!.callers.proxy;
  }

  /** Writes an endpoint's record with a new sequence number. */
  publishEndpoint(index: number, fields: object = {}): void {
    const endpoint = this.endpoints[index]!;
    const { region } = this.#plan.endpoints[index]!;
    this.store.put(`${STORE_KEYS.endpoint}${endpoint.id}`, {
      service: endpoint.service,
      address: endpoint.address,
      zone: `${region}-1`,
      version: "v1",
      slots: SLOTS[endpoint.service],
      state: "ready",
      cold_remaining_ms: 0,
      sequence: this.#sequence++,
      ...fields,
    });
  }

  withdrawEndpoint(id: string): void {
    this.store.remove(`${STORE_KEYS.endpoint}${id}`);
  }

  /** Asks that nothing be sent to the endpoints of a zone; the returned function takes it back. */
  evacuate(zone: string): () => void {
    const key = `${STORE_KEYS.evacuation}${zone}`;
    this.store.put(key, {});
    return () => this.store.remove(key);
  }

  /** Publishes a newer document. */
  publishDocument(
    { timeoutMs, movesTo, hasLate, customers }: DocumentFields,
  ): void {
    this.#version += 2;
    const service = { connection_limit: 200, cold_s: 0, cold_per_s: 0 };
    this.store.put(STORE_KEYS.document, {
      version: this.#version,
      routes: Object.entries(ROUTES)
        .filter(([name]) => hasLate || name !== "late")
        .map(([name, fields]) =>
          route(name, {
            ...fields,
            ...name === "moving" ? { service: movesTo } : {},
            timeout_ms: timeoutMs,
          })
        ),
      services: [
        { ...service, name: "core" },
        {
          ...service,
          name: "model",
          engine: { slots: SLOTS.model, cache_tokens: 100_000 },
        },
      ],
      ...customers === undefined ? {} : { tenants: customers },
      limits: {
        header_bytes: 16_384,
        body_bytes: 65_536,
        header_ms: 3_000,
        idle_ms: 15_000,
      },
    });
  }

  /** Cuts links; the returned function heals them. */
  cut(set: LinkSet, directions: readonly LinkDirection[]): () => void {
    const apply = (change: 1 | -1): void => {
      for (const { entry, link, isReverse } of this.#select(set)) {
        const ownDirections = isReverse
          ? directions.map(oppositeOf)
          : directions;
        link.tcp[change > 0 ? "cut" : "heal"](ownDirections);
        // A connection needs both directions to be established, a datagram only one.
        this.#count(entry, link.proxy, change);
        if (link.host !== undefined && ownDirections.includes("out")) {
          this.#count(entry, link.host, change);
        }
      }
      this.#tellEntries();
    };
    apply(1);
    return () => apply(-1);
  }

  /** Resets the open connections of links. */
  reset(set: LinkSet): void {
    this.#select(set).forEach(({ link }) => link.tcp.reset());
  }

  /** Slows links down; the returned function undoes it. */
  delay(set: LinkSet, ms: number): () => void {
    const links = this.#select(set).map(({ link }) => link.tcp);
    links.forEach((link) => link.addDelay(ms));
    return () => links.forEach((link) => link.addDelay(-ms));
  }

  /** Tells an entry that has started again about its links. */
  tellEntry(index: number): void {
    const cuts = [...this.#cuts[index]!].filter(([, count]) => count > 0)
      .map(([name]) => name);
    const state: LinkState = {
      unreachable: cuts.filter((name) => name.includes(":")),
      lost: Object.fromEntries(
        cuts.filter((name) => !name.includes(":")).map((host) => [host, 1]),
      ),
    };
    this.entries[index]!.send(state);
  }

  async close(): Promise<void> {
    await Promise.all(this.entries.map((entry) => entry.stop()));
    const links = this.#links.flatMap((
      { peers, endpoints, store, callers },
    ) => [...peers.values(), ...endpoints, store, callers]);
    await Promise.all(links.map(({ tcp }) => tcp.close()));
    await Promise.all(this.endpoints.map((endpoint) => endpoint.end()));
    await this.store.close();
  }

  async #startEntry(
    index: number,
    { hosts, peerPort, storeAddress }: {
      hosts: readonly string[];
      peerPort: number;
      storeAddress: string;
    },
  ): Promise<void> {
    const { entries, endpoints } = this.#plan;
    const region = entries[index]!;
    const name = `entry-${index + 1}`;
    const onConnect = (port: number): void => {
      this.#senders.set(port, name);
    };
    const delayTo = (other: string): number =>
      other === region ? 0 : REGION_DELAY_MS;
    const peers = new Map<number, Link>();
    for (const [peer, host] of hosts.entries()) {
      if (peer !== index) {
        const delayMs = delayTo(entries[peer]!);
        peers.set(peer, {
          ...await openLink(`${host}:${peerPort}`, {
            delayMs,
            watch: () => this.bodyWatch.connection(index, peer),
          }),
          host,
        });
      }
    }
    const toEndpoints = await Promise.all(
      endpoints.map((_, each) =>
        openLink(this.endpoints[each]!.address, { onConnect })
      ),
    );
    const toStore = await openLink(storeAddress, {
      delayMs: delayTo(entries[0]!),
    });
    const proxies = {
      ...Object.fromEntries(
        [...peers].map(([peer, { proxy }]) => [
          `${hosts[peer]}:${peerPort}`,
          proxy,
        ]),
      ),
      ...Object.fromEntries(
        toEndpoints.map(({ proxy }, each) => [
          this.endpoints[each]!.address,
          proxy,
        ]),
      ),
      [storeAddress]: toStore.proxy,
    };
    const delaysMs = Object.fromEntries(
      hosts.map((host, peer) => [host, delayTo(entries[peer]!)]),
    );
    const entry = await ProcessEntry.start({
      name,
      host: hosts[index]!,
      zone: `${region}-1`,
      region,
      peerPort,
      seeds: hosts.map((host) => `${host}:1`),
      zones: Object.fromEntries(
        [...new Set(entries)].map((each) => [`${each}-1`, each]),
      ),
      storeAddress,
      stopSeconds: STOP_SECONDS,
    }, {
      program: PROGRAM,
      messages: true,
      env: { [LINKS_VARIABLE]: JSON.stringify({ proxies, delaysMs }) },
    });
    this.entries.push(entry);
    this.#cuts.push(new Map());
    this.#links.push({
      peers,
      endpoints: toEndpoints,
      store: toStore,
      callers: await openLink(entry.callers, {}),
    });
  }

  /** The links of a set; between entries both the one that each of them opens. */
  #select(
    set: LinkSet,
  ): { entry: number; link: Link; isReverse?: boolean }[] {
    return set.entries.flatMap((entry) => {
      const own = this.#links[entry]!;
      const between = set.peers.flatMap((peer) => [
        { entry, link: own.peers.get(peer)! },
        {
          entry: peer,
          link: this.#links[peer]!.peers.get(entry)!,
          isReverse: true,
        },
      ]);
      return [
        ...between,
        ...set.endpoints.map((each) => ({ entry, link: own.endpoints[each]! })),
        ...set.store ? [{ entry, link: own.store }] : [],
        ...set.callers ? [{ entry, link: own.callers }] : [],
      ];
    });
  }

  #count(entry: number, name: string, change: number): void {
    const cuts = this.#cuts[entry]!;
    cuts.set(name, (cuts.get(name) ?? 0) + change);
  }

  #tellEntries(): void {
    this.entries.forEach((_, index) => this.tellEntry(index));
  }
}

function oppositeOf(direction: LinkDirection): LinkDirection {
  return direction === "out" ? "in" : "out";
}

async function openLink(
  target: string,
  options: ConstructorParameters<typeof TcpLink>[1],
): Promise<Link> {
  const tcp = new TcpLink(target, options);
  return { tcp, proxy: await tcp.listen() };
}

async function waitUntilReady({ readiness }: ProcessEntry): Promise<void> {
  await eventually(async () =>
    (await fetch(`http://${readiness}${API_PATHS.ready}`)).status === 200
  );
}
