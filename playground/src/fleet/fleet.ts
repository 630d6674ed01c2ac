/**
 * A whole fleet of real processes on loopback: stand-ins, and entries in three regions.
 *
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Credentials, PeerClients, type Status } from "@sassafrasstep/daemon";
import type { PublishedVm } from "../stand_ins/index.ts";
import type { Blueprint, Place } from "./blueprint.ts";
import { Child } from "./child.ts";
import { Relay } from "./relay.ts";
import { waitFor } from "./wait_for.ts";

/** Secret of every fleet of the playground. */
export const PLAYGROUND_SECRET = "playground-secret-0123456789";

/** A running entry. */
export interface FleetEntry extends Place {
  readonly id: string;
  readonly child: Child;
  readonly url: string;
  readonly controlUrl: string;
  /** Control address that peers are told. */
  readonly peerUrl: string;
}

/** A running stand-in. */
export interface FleetStandIn extends Place {
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

/** What differs from the blueprint. */
export interface FleetOptions {
  readonly heartbeatPeriodMs?: number;
  readonly epochLengthMs?: number;
  readonly balancer?: string;
  /** Whether entries reach the platform and each other through relays, which `cut` can cut. */
  readonly relayed?: boolean;
}

/** Starts, changes and ends the processes of one fleet. */
export class Fleet {
  readonly blueprint: Blueprint;
  readonly entries: FleetEntry[] = [];
  readonly standIns: FleetStandIn[] = [];
  readonly peers: PeerClients;
  readonly #options: FleetOptions;
  /** Addresses that entries are given for the platform. */
  readonly #platformUrls = new Map<string, string>();
  readonly #relays = new Map<string, Relay>();
  readonly #folder = mkdtempSync(join(tmpdir(), "sassafrasstep-"));
  #vmStates = new Map<string, "live" | "leaving">();
  #counter = 0;

  constructor(blueprint: Blueprint, options: FleetOptions = {}) {
    this.blueprint = blueprint;
    this.#options = options;
    this.peers = new PeerClients(
      new Credentials(PLAYGROUND_SECRET, blueprint.name),
    );
  }

  /** Starts everything and waits until each entry is ready and knows all others. */
  async start(): Promise<void> {
    const { blueprint } = this;
    const nowhere = { zone: "", region: "" };
    await Promise.all([
      this.addStandIn("configuration", nowhere),
      this.addStandIn("vm-list", nowhere, { lagMs: 100 }),
      this.addStandIn("weight-store", nowhere),
    ]);
    for (const name of ["configuration", "vm-list"]) {
      const url = this.urlOf(name);
      this.#platformUrls.set(
        name,
        this.#options.relayed === true
          ? (await this.#addRelay(name, url)).url
          : url,
      );
    }
    const engineOptions = {
      ...blueprint.engine,
      weightStoreUrl: this.urlOf("weight-store"),
    };
    await Promise.all([
      ...blueprint.engines.map((place) =>
        this.addStandIn("engine", place, engineOptions)
      ),
      ...blueprint.plains.map((place) => this.addStandIn("plain", place)),
    ]);
    await this.publish(blueprint.text);
    await Promise.all(blueprint.entries.map((place) => this.addEntry(place)));
    await this.publishVms();
    await this.waitUntilReady();
  }

  /** Ends every process. */
  async stop(): Promise<void> {
    await Promise.all(
      [...this.entries, ...this.standIns].map(({ child }) => child.kill()),
    );
    await Promise.all([...this.#relays.values()].map((relay) => relay.stop()));
    await this.peers.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  /** Starts a stand-in. Engines and plain services are listed once `publishVms` is called. */
  async addStandIn(
    kind: FleetStandIn["kind"],
    place: Place,
    options: object = {},
  ): Promise<FleetStandIn> {
    const child = new Child("playground/dist/stand_ins/main.js", [
      "--kind",
      kind,
      "--options",
      JSON.stringify(options),
    ]);
    this.#counter++;
    const id = place.zone === ""
      ? kind
      : `${kind}-${place.zone}-${this.#counter}`;
    const { url } = await child.lineWith<{ url: string }>("url");
    const standIn = { id, kind, child, url, ...place };
    this.standIns.push(standIn);
    return standIn;
  }

  /** Starts an entry. */
  async addEntry(place: Place): Promise<FleetEntry> {
    this.#counter++;
    const id = `entry-${place.zone}-${this.#counter}`;
    const path = join(this.#folder, `${id}.ini`);
    const relay = this.#options.relayed === true
      ? await this.#addRelay(id)
      : undefined;
    writeFileSync(path, this.#settingsOf(id, place, relay?.url));
    const child = new Child("packages/daemon/dist/main.js", [
      "--settings",
      path,
    ]);
    const line = await child.lineWith<
      { localUrl: string; localControlUrl: string; controlUrl: string }
    >("controlUrl");
    relay?.relay.aimAt(line.localControlUrl);
    const entry = {
      id,
      child,
      url: line.localUrl,
      controlUrl: line.localControlUrl,
      peerUrl: line.controlUrl,
      ...place,
    };
    this.entries.push(entry);
    return entry;
  }

  /** Cuts every entry off from the platform and from every other entry. */
  cut(): void {
    this.#relays.forEach((relay) => relay.cut());
  }

  /** Bytes that passed each relay in both directions. */
  relayBytes(): Map<string, number> {
    return new Map(
      [...this.#relays].map(([name, relay]) => [name, relay.bytes]),
    );
  }

  heal(): void {
    this.#relays.forEach((relay) => relay.heal());
  }

  /** Publishes a text; returns its revision. */
  async publish(text: string): Promise<number> {
    const answer = await fetch(`${this.urlOf("configuration")}/control/text`, {
      method: "PUT",
      body: text,
    });
    return (await answer.json() as { revision: number }).revision;
  }

  /** Publishes all VMs that run, each live unless it was marked as leaving. */
  async publishVms(): Promise<void> {
    await this.control("vm-list", "vms", { vms: this.vms() });
  }

  /** Lists a VM as leaving, or not at all. */
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

  /** Calls a control route of a stand-in by kind or id. */
  async control(name: string, route: string, body: object): Promise<void> {
    await fetch(`${this.urlOf(name)}/control/${route}`, {
      method: "PUT",
      body: JSON.stringify(body),
    });
  }

  /** Reads a control route of a stand-in by kind or id. */
  async readControl<Answer>(name: string, route: string): Promise<Answer> {
    return await (await fetch(`${this.urlOf(name)}/control/${route}`))
      .json() as Answer;
  }

  urlOf(name: string): string {
    return this.#standIn(name).url;
  }

  entriesIn(region: string): FleetEntry[] {
    return this.entries.filter((entry) => entry.region === region);
  }

  standInsOf(kind: FleetStandIn["kind"]): FleetStandIn[] {
    return this.standIns.filter((standIn) => standIn.kind === kind);
  }

  /** One entry's picture. */
  async status(entry: FleetEntry): Promise<Status> {
    return await this.peers.at(entry.controlUrl).status.query();
  }

  /** Waits until each entry is ready and hears all others. */
  async waitUntilReady(
    entries: readonly FleetEntry[] = this.entries,
  ): Promise<void> {
    await waitFor("all entries to be ready", async () => {
      const all = await Promise.all(entries.map((entry) => this.status(entry)));
      return all.every((status) => {
        const live = status.members.filter(({ health, state }) =>
          health === "live" && state === "ready"
        );
        const known = status.endpoints.length > 0 &&
          status.endpoints.every(({ slots }) => slots > 0);
        return status.phase === "ready" && live.length === entries.length - 1 &&
          known;
      });
    });
  }

  #standIn(name: string): FleetStandIn {
    const found = this.standIns.find(({ id, kind }) =>
      id === name || kind === name
    );
    if (found === undefined) {
      throw new Error(`The fleet has no stand-in "${name}"`);
    }
    return found;
  }

  async #addRelay(
    name: string,
    target?: string,
  ): Promise<{ relay: Relay; url: string }> {
    const relay = new Relay(target);
    this.#relays.set(name, relay);
    return { relay, url: await relay.start() };
  }

  #settingsOf(
    id: string,
    { zone, region }: Place,
    advertised: string | undefined,
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
${advertised === undefined ? "" : `advertised_control_url = ${advertised}`}
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
