/**
 * Cores, fakes and a network under virtual time. No model of traffic or of engines' speed: a scenario
 * states what happens.
 *
 * @module
 */
import {
  type ConfigurationCopy,
  type Effect,
  type EndpointId,
  type KeyHandOver,
  type ListedVm,
  parseConfiguration,
  type RegionId,
  type ZoneId,
} from "@sassafrasstep/core";
import { FakeEndpoint } from "./endpoint_fakes.ts";
import { Exchanges } from "./exchanges.ts";
import { Network, type Spot } from "./network.ts";
import { FakeConfiguration, FakeVmList } from "./platform_fakes.ts";
import { PlatformWay } from "./platform_way.ts";
import { Poisons } from "./poisons.ts";
import { Violations } from "./violations.ts";
import { VirtualEntry } from "./virtual_entry.ts";
import { VirtualTime } from "./virtual_time.ts";

const PEER_TIMEOUT_MS = 1_500;
const HEX = 16;
const INCARNATION_LENGTH = 12;
const KEY_RANDOM_LENGTH = 8;

/** Everything of one scenario. */
export class World {
  readonly time = new VirtualTime();
  readonly network = new Network();
  readonly configuration = new FakeConfiguration();
  readonly vmList = new FakeVmList();
  readonly violations = new Violations();
  readonly poisons = new Poisons(this);
  readonly exchanges: Exchanges;
  readonly endpoints = new Map<string, FakeEndpoint>();
  readonly deploymentName = "scenario";
  epochLengthMs = 300_000;
  /** Whether hand-over messages get lost. */
  loseHandOvers = false;
  /** Whether they arrive and their answers get lost. */
  loseHandOverReplies = false;
  /** Virtual time at which the script's own time begins. */
  startOfScript = 0;
  readonly #platform = new PlatformWay(this);
  readonly #keys = new Map<string, string>();
  readonly #calls: { readonly at: number; readonly calls: number }[] = [];
  readonly #entries = new Map<string, VirtualEntry>();
  readonly #frozenUntil = new Map<string, number>();
  #seed: number;

  constructor(seed = 1) {
    this.#seed = seed;
    this.exchanges = new Exchanges(this);
  }

  /** Starts an entry; one of the same name is replaced by a new life. */
  startEntry(id: string, spot: Spot): VirtualEntry {
    this.#seed++;
    const incarnation = (this.#seed * 2_654_435_761).toString(HEX).padStart(
      INCARNATION_LENGTH,
      "0",
    );
    const entry = new VirtualEntry(this, {
      id,
      zone: spot.zone,
      region: spot.region,
      incarnation,
      seed: this.#seed,
    });
    this.#entries.set(id, entry);
    this.publishVms();
    return entry;
  }

  killEntry(id: string): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined && !entry.dead) {
      entry.dead = true;
      this.exchanges.entryDied(entry);
      this.publishVms();
    }
  }

  freezeEntry(id: string): void {
    this.#entries.get(id)?.freeze();
  }

  thawEntry(id: string): void {
    this.#frozenUntil.set(id, this.time.now);
    this.#entries.get(id)?.thaw();
  }

  addEndpoint(endpoint: FakeEndpoint): void {
    this.endpoints.set(endpoint.id, endpoint);
    this.publishVms();
  }

  entry(id: string): VirtualEntry | undefined {
    return this.#entries.get(id);
  }

  entries(): VirtualEntry[] {
    return [...this.#entries.values()];
  }

  entryAt(url: string): VirtualEntry | undefined {
    return this.entries().find((entry) =>
      entry.url === url || entry.controlUrl === url
    );
  }

  endpoint(id: EndpointId): FakeEndpoint | undefined {
    return this.endpoints.get(id);
  }

  /** Whether an entry stood still at some time after `since`. */
  wasFrozen(id: string, since: number): boolean {
    return (this.#frozenUntil.get(id) ?? -1) >= since;
  }

  /** Runs of a key over all endpoints. */
  runsOf(key: string): number {
    return [...this.endpoints.values()].reduce(
      (sum, endpoint) => sum + (endpoint.runs.get(key) ?? 0),
      0,
    );
  }

  /** The idempotency key that a scenario calls `name`, made from an entry's token at its first use. */
  keyNamed(name: string, ownerEntry = ""): string {
    const known = this.#keys.get(name);
    const owner = this.#entries.get(ownerEntry);
    if (known !== undefined || owner === undefined) {
      return known ?? name;
    }
    const key = `${owner.core.ownerToken(owner.now())}.${
      name.padEnd(KEY_RANDOM_LENGTH, "0")
    }`;
    this.#keys.set(name, key);
    return key;
  }

  /** Remembers how often the configuration service was called until now. */
  noteCalls(): void {
    this.#calls.push({ at: this.time.now, calls: this.configuration.calls });
  }

  /** Calls of the configuration service up to a time of the script. */
  callsAt(at: number): number {
    return this.#calls.filter((noted) => noted.at <= this.startOfScript + at)
      .at(-1)?.calls ?? 0;
  }

  /** Publishes the VMs as they are. */
  publishVms(): void {
    const entries = this.entries().filter(({ dead }) => !dead).map((
      entry,
    ): ListedVm => ({
      id: `${entry.id}-${entry.incarnation}` as EndpointId,
      role: "entry",
      zone: entry.zone as ZoneId,
      region: entry.region as RegionId,
      url: entry.url,
      controlUrl: entry.controlUrl,
      pool: "",
      state: "live",
    }));
    const endpoints = [...this.endpoints.values()].filter((
      { dead, unlisted },
    ) => !dead && !unlisted)
      .map((endpoint): ListedVm => ({
        id: endpoint.id,
        role: "endpoint",
        zone: endpoint.zone,
        region: endpoint.region,
        url: endpoint.url,
        pool: endpoint.pool,
        state: endpoint.listedAsLeaving ? "leaving" : "live",
      }));
    this.vmList.set([...entries, ...endpoints], this.time.now);
  }

  /** Notes data of a bound customer outside its home, by the newest acceptable text. */
  checkHome(
    region: string,
    { what, customer }: { what: string; customer: string },
  ): void {
    const result = parseConfiguration(this.configuration.newest);
    const found = result.ok
      ? [...result.deployment.customers.values()].find(({ id }) =>
        id === customer
      )
      : undefined;
    if (found?.bound === true && !this.homesInDoubt.has(customer)) {
      this.violations.checkHome(this.time.now, {
        what,
        customer,
        home: found.home,
        region,
      });
    }
  }

  /** Customers whose home changed too lately for every entry to know. */
  readonly homesInDoubt = new Set<string>();

  /** Does what an entry's core says. */
  carryOut(entry: VirtualEntry, effect: Effect): void {
    switch (effect.kind) {
      case "readBody":
        return this.exchanges.readBody(entry, effect.request);
      case "dispatch":
        return this.exchanges.dispatch(entry, effect.attempt);
      case "finish":
        return this.exchanges.finish(effect.request, effect.answer);
      case "sendHeartbeat":
        return this.#sendHeartbeat(entry, effect);
      case "copyConfiguration":
        return this.#copyConfiguration(entry, effect);
      case "readConfiguration":
        return this.#platform.readConfiguration(entry, effect);
      case "listVms":
        return this.#platform.listVms(entry);
      case "sendOutcome":
        return this.#sendOutcome(entry, effect);
      case "sendHandOver":
        return this.#sendHandOver(entry, effect);
      case "sendQuarantine":
        return this.#callPeer(entry, effect.url, {
          deliver: (peer) => {
            peer.tell({ kind: "quarantineNews", news: effect.news });
            return () => {};
          },
          failed: () => {},
        });
      case "pollLoad":
        return this.#platform.pollLoad(entry, effect);
      case "order":
        return this.#platform.order(entry, effect);
      case "exit":
        return this.killEntry(entry.id);
    }
  }

  /** One call from an entry to a peer: delivered, answered, or failed after the time-out. */
  #callPeer(
    entry: VirtualEntry,
    url: string,
    { deliver, failed }: {
      deliver: (peer: VirtualEntry) => () => void;
      failed: () => void;
    },
  ): void {
    const peer = this.entryAt(url);
    if (peer === undefined || peer.dead || !this.network.reaches(entry, peer)) {
      this.time.after(PEER_TIMEOUT_MS, failed);
      return;
    }
    const delay = this.network.delay(entry, peer);
    const sentAt = this.time.now;
    this.time.after(delay, () =>
      peer.deliver(() => {
        const reply = deliver(peer);
        const late = this.time.now - sentAt > PEER_TIMEOUT_MS;
        this.time.after(delay, () =>
          late || !this.network.reaches(peer, entry) ? failed() : reply());
      }));
  }

  #sendHeartbeat(
    entry: VirtualEntry,
    { url, heartbeat }: Extract<Effect, { kind: "sendHeartbeat" }>,
  ): void {
    this.#callPeer(entry, url, {
      deliver: (peer) => {
        const reply = peer.core.answerHeartbeat(heartbeat, peer.now());
        return () => entry.tell({ kind: "heartbeatReply", reply });
      },
      failed: () => {},
    });
  }

  #copyConfiguration(
    entry: VirtualEntry,
    { from, url, have }: Extract<Effect, { kind: "copyConfiguration" }>,
  ): void {
    const tell = (
      copy: ConfigurationCopy | undefined,
      answered: boolean,
    ): void =>
      entry.tell({ kind: "configurationCopied", from, copy, answered });
    this.#callPeer(entry, url, {
      deliver: (peer) => {
        const copy = peer.core.answerConfiguration(have);
        return () => tell(copy, true);
      },
      failed: () => tell(undefined, false),
    });
  }

  #sendOutcome(
    entry: VirtualEntry,
    { url, copy }: Extract<Effect, { kind: "sendOutcome" }>,
  ): void {
    const peer = this.entryAt(url);
    if (peer !== undefined) {
      this.checkHome(peer.region, {
        what: "outcome copy",
        customer: copy.customer,
      });
    }
    this.#callPeer(entry, url, {
      deliver: (receiver) => {
        receiver.tell({ kind: "outcomeCopy", copy });
        return () => {};
      },
      failed: () => {},
    });
  }

  #sendHandOver(
    entry: VirtualEntry,
    { url, handOver }: Extract<Effect, { kind: "sendHandOver" }>,
  ): void {
    const done = (): void => entry.tell({ kind: "handOverDone" });
    if (this.loseHandOvers) {
      this.time.after(PEER_TIMEOUT_MS, done);
      return;
    }
    const copied = JSON.parse(JSON.stringify(handOver)) as KeyHandOver;
    this.#callPeer(entry, url, {
      deliver: (peer) => {
        peer.core.answerHandOver(copied, peer.now());
        return this.loseHandOverReplies
          ? () => this.time.after(PEER_TIMEOUT_MS, done)
          : done;
      },
      failed: done,
    });
  }

  /** How long an order is on its way. */
  orderDelayMs = 1;
}
