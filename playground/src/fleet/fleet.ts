/**
 * A fleet of real processes on loopback: stand-ins, and entries in three regions.
 *
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Credentials, PeerClients, type Status } from "@sassafrasstep/daemon";
import type { PublishedVm } from "../stand_ins/index.ts";
import type { Blueprint, Location } from "./blueprint.ts";
import { Child } from "./child.ts";
import { Relay } from "./relay.ts";
import { waitFor } from "./wait_for.ts";

/** The shared secret of peers in every playground fleet. */
export const PLAYGROUND_SECRET = "playground-secret-0123456789";

/** A running entry process and its addresses. */
export interface FleetEntry extends Location {
  readonly id: string;
  readonly child: Child;
  readonly url: string;
  readonly controlUrl: string;
  /** The control address that is advertised to peers. */
  readonly peerUrl: string;
}

/** A running stand-in process. */
export interface FleetStandIn extends Location {
  readonly id: string;
  readonly kind:
    | "configuration"
    | "vm-list"
    | "weight-store"
    | "engine"
    | "plain";
  readonly child: Child;
  readonly url: string;
}

/** Settings of a fleet that its blueprint does not define. */
export interface FleetOptions {
  readonly heartbeatPeriodMs?: number;
  readonly epochLengthMs?: number;
  readonly balancer?: string;
  /** Whether entries reach the platform and each other through relays, which `partition` interrupts. */
  readonly relayed?: boolean;
}

/** Starts, changes and stops the processes of one fleet. */
export class Fleet {
  readonly blueprint: Blueprint;
  readonly entries: FleetEntry[] = [];
  readonly standIns: FleetStandIn[] = [];
  readonly peers: PeerClients;
  readonly #options: FleetOptions;
  /** Addresses of the platform services in the entries' settings. */
  readonly #platformUrls = new Map<string, string>();
  readonly #relays = new Map<string, Relay>();
  readonly #settingsDirectory = mkdtempSync(join(tmpdir(), "sassafrasstep-"));
  #vmStates = new Map<string, "live" | "leaving">();
  #idCounter = 0;

  constructor(blueprint: Blueprint, options: FleetOptions = {}) {
    this.blueprint = blueprint;
    this.#options = options;
    this.peers = new PeerClients(
      new Credentials(PLAYGROUND_SECRET, blueprint.name),
    );
  }

  /** Starts all processes and waits until each entry is ready and sees all others as live. */
  async start(): Promise<void> {
    const { blueprint } = this;
    const platformLocation = { zone: "", region: "" };
    await Promise.all([
      this.addStandIn("configuration", platformLocation),
      this.addStandIn("vm-list", platformLocation, { lagMs: 100 }),
      this.addStandIn("weight-store", platformLocation),
    ]);
    for (const name of ["configuration", "vm-list"]) {
      const url = this.standInUrl(name);
      this.#platformUrls.set(
        name,
        this.#options.relayed === true
          ? (await this.#addRelay(name, url)).url
          : url,
      );
    }
    const engineOptions = {
      ...blueprint.engine,
      weightStoreUrl: this.standInUrl("weight-store"),
    };
    await Promise.all([
      ...blueprint.engines.map((location) =>
        this.addStandIn("engine", location, engineOptions)
      ),
      ...blueprint.plainServices.map((location) =>
        this.addStandIn("plain", location)
      ),
    ]);
    await this.publishConfiguration(blueprint.configurationText);
    await Promise.all(
      blueprint.entries.map((location) => this.addEntry(location)),
    );
    await this.publishVms();
    await this.waitUntilReady();
  }

  /** Kills all processes, stops the relays and deletes the settings files. */
  async stop(): Promise<void> {
    await Promise.all(
      [...this.entries, ...this.standIns].map(({ child }) => child.kill()),
    );
    await Promise.all([...this.#relays.values()].map((relay) => relay.stop()));
    await this.peers.close();
    rmSync(this.#settingsDirectory, { recursive: true, force: true });
  }

  /** Starts a stand-in. An engine or plain service appears in the VM list after the next `publishVms`. */
  async addStandIn(
    kind: FleetStandIn["kind"],
    location: Location,
    options: object = {},
  ): Promise<FleetStandIn> {
    const child = new Child("playground/dist/stand_ins/main.js", [
      "--kind",
      kind,
      "--options",
      JSON.stringify(options),
    ]);
    this.#idCounter++;
    const id = location.zone === ""
      ? kind
      : `${kind}-${location.zone}-${this.#idCounter}`;
    const { url } = await child.waitForLineWith<{ url: string }>("url");
    const standIn = { id, kind, child, url, ...location };
    this.standIns.push(standIn);
    return standIn;
  }

  /** Starts an entry. It appears in the VM list after the next `publishVms`. */
  async addEntry(location: Location): Promise<FleetEntry> {
    this.#idCounter++;
    const id = `entry-${location.zone}-${this.#idCounter}`;
    const path = join(this.#settingsDirectory, `${id}.ini`);
    const relay = this.#options.relayed === true
      ? await this.#addRelay(id)
      : undefined;
    writeFileSync(path, this.#settingsText(id, location, relay?.url));
    const child = new Child("packages/daemon/dist/main.js", [
      "--settings",
      path,
    ]);
    const line = await child.waitForLineWith<
      { localUrl: string; localControlUrl: string; controlUrl: string }
    >("controlUrl");
    relay?.relay.setTarget(line.localControlUrl);
    const entry = {
      id,
      child,
      url: line.localUrl,
      controlUrl: line.localControlUrl,
      peerUrl: line.controlUrl,
      ...location,
    };
    this.entries.push(entry);
    return entry;
  }

  /** Isolates every entry from the platform and from every other entry. Requires `relayed`. */
  partition(): void {
    this.#relays.forEach((relay) => relay.interrupt());
  }

  /** Returns the bytes that each relay has forwarded in both directions, by relay name. */
  relayBytes(): Map<string, number> {
    return new Map(
      [...this.#relays].map(([name, relay]) => [name, relay.bytes]),
    );
  }

  /** Ends a partition. */
  heal(): void {
    this.#relays.forEach((relay) => relay.restore());
  }

  /** Publishes a configuration text and returns its revision. */
  async publishConfiguration(text: string): Promise<number> {
    const answer = await fetch(
      `${this.standInUrl("configuration")}/control/text`,
      {
        method: "PUT",
        body: text,
      },
    );
    return (await answer.json() as { revision: number }).revision;
  }

  /** Publishes the VM list: every VM of the fleet, live unless it was marked as leaving. */
  async publishVms(): Promise<void> {
    await this.putControl("vm-list", "vms", { vms: this.vms() });
  }

  /** Publishes a VM as leaving, or removes it from the VM list. */
  async markVm(id: string, state: "leaving" | "gone"): Promise<void> {
    if (state === "gone") {
      const index = this.standIns.findIndex((standIn) => standIn.id === id);
      index < 0 || this.standIns.splice(index, 1);
    } else {
      this.#vmStates.set(id, state);
    }
    await this.publishVms();
  }

  vms(): PublishedVm[] {
    const { modelService, plainService } = this.blueprint;
    const state = (id: string): "live" | "leaving" =>
      this.#vmStates.get(id) ?? "live";
    const endpoints = this.standIns.filter(({ kind }) =>
      kind === "engine" || kind === "plain"
    );
    return [
      ...this.entries.map((
        { id, zone, region, url, peerUrl, child },
      ): PublishedVm => ({
        id: `${id}-${child.pid}`,
        role: "entry",
        zone,
        region,
        url,
        controlUrl: peerUrl,
        pool: "",
        state: state(id),
      })),
      ...endpoints.map(({ id, kind, zone, region, url }): PublishedVm => ({
        id,
        role: "endpoint",
        zone,
        region,
        url,
        pool: kind === "engine" ? modelService : plainService,
        state: state(id),
      })),
    ];
  }

  /** Sends a body to a control route of the stand-in with the given kind or id. */
  async putControl(name: string, route: string, body: object): Promise<void> {
    await fetch(`${this.standInUrl(name)}/control/${route}`, {
      method: "PUT",
      body: JSON.stringify(body),
    });
  }

  /** Reads a control route of the stand-in with the given kind or id. */
  async readControl<Answer>(name: string, route: string): Promise<Answer> {
    return await (await fetch(`${this.standInUrl(name)}/control/${route}`))
      .json() as Answer;
  }

  standInUrl(name: string): string {
    return this.#findStandIn(name).url;
  }

  entriesInRegion(region: string): FleetEntry[] {
    return this.entries.filter((entry) => entry.region === region);
  }

  standInsOfKind(kind: FleetStandIn["kind"]): FleetStandIn[] {
    return this.standIns.filter((standIn) => standIn.kind === kind);
  }

  /** Queries an entry's status. */
  async status(entry: FleetEntry): Promise<Status> {
    return await this.peers.at(entry.controlUrl).status.query();
  }

  /** Waits until each entry is ready, sees all others as live and ready, and knows every endpoint's slots. */
  async waitUntilReady(
    entries: readonly FleetEntry[] = this.entries,
  ): Promise<void> {
    await waitFor("all entries to be ready", async () => {
      const statuses = await Promise.all(
        entries.map((entry) => this.status(entry)),
      );
      return statuses.every((status) => {
        const live = status.members.filter(({ health, state }) =>
          health === "live" && state === "ready"
        );
        const slotsKnown = status.endpoints.length > 0 &&
          status.endpoints.every(({ slots }) => slots > 0);
        return status.phase === "ready" && live.length === entries.length - 1 &&
          slotsKnown;
      });
    });
  }

  #findStandIn(name: string): FleetStandIn {
    const standIn = this.standIns.find(({ id, kind }) =>
      id === name || kind === name
    );
    if (standIn === undefined) {
      throw new Error(`The fleet has no stand-in of kind or id "${name}"`);
    }
    return standIn;
  }

  async #addRelay(
    name: string,
    target?: string,
  ): Promise<{ relay: Relay; url: string }> {
    const relay = new Relay(target);
    this.#relays.set(name, relay);
    return { relay, url: await relay.start() };
  }

  #settingsText(
    id: string,
    { zone, region }: Location,
    advertisedControlUrl: string | undefined,
  ): string {
    const {
      heartbeatPeriodMs = 200,
      epochLengthMs = 300_000,
      balancer = "estimate",
    } = this.#options;
    return `[entry]
id = ${id}
deployment = ${this.blueprint.name}
region = ${region}
zone = ${zone}
listen = 127.0.0.1:0
control = 127.0.0.1:0
${
      advertisedControlUrl === undefined
        ? ""
        : `advertised_control_url = ${advertisedControlUrl}`
    }
secret = ${PLAYGROUND_SECRET}

[platform]
configuration_url = ${this.#platformUrls.get("configuration")}
vm_list_url = ${this.#platformUrls.get("vm-list")}

[tuning]
heartbeat_period_ms = ${heartbeatPeriodMs}
epoch_length_ms = ${epochLengthMs}
balancer = ${balancer}
`;
  }
}
