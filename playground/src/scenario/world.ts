/**
 * The simulated system: entries' cores, fake endpoints, a fake platform and a network in virtual time.
 * It models neither traffic nor engine speed; a scenario states what happens.
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
import { RequestTransport } from "./exchanges.ts";
import { Network, type Spot } from "./network.ts";
import { FakeConfiguration, FakeVmList } from "./platform_fakes.ts";
import { PlatformTransport } from "./platform_way.ts";
import { Poisons } from "./poisons.ts";
import { Violations } from "./violations.ts";
import { VirtualEntry } from "./virtual_entry.ts";
import { VirtualTime } from "./virtual_time.ts";

const PEER_TIMEOUT_MS = 1_500;
const HEX_RADIX = 16;
const INCARNATION_LENGTH = 12;
const KEY_RANDOM_LENGTH = 8;

/** Receives a line that an entry logs, with the milliseconds since the script's time 0. */
export type LogListener = (
  entry: string,
  line: Extract<Effect, { kind: "log" }>,
  at: number,
) => void;

/** State of one scenario run. */
export class World {
  readonly time = new VirtualTime();
  readonly network = new Network();
  readonly configuration = new FakeConfiguration();
  readonly vmList = new FakeVmList();
  readonly violations = new Violations();
  readonly poisons = new Poisons(this);
  readonly requests: RequestTransport;
  readonly endpoints = new Map<string, FakeEndpoint>();
  readonly deploymentName = "scenario";
  epochLengthMs = 300_000;
  /** Whether hand-over messages are lost. */
  loseHandOvers = false;
  /** Whether hand-over messages arrive but their replies are lost. */
  loseHandOverReplies = false;
  /** Virtual time of the script's time 0, in milliseconds. */
  startOfScript = 0;
  readonly #platformTransport = new PlatformTransport(this);
  readonly #keys = new Map<string, string>();
  readonly #configurationCalls: {
    readonly at: number;
    readonly calls: number;
  }[] = [];
  readonly #entries = new Map<string, VirtualEntry>();
  readonly #thawedAt = new Map<string, number>();
  #seed: number;

  readonly #onLog: LogListener;

  constructor(seed = 1, onLog: LogListener = () => {}) {
    this.#seed = seed;
    this.#onLog = onLog;
    this.requests = new RequestTransport(this);
  }

  /** Starts an entry. An entry with the same name is replaced by a new incarnation. */
  startEntry(id: string, location: Spot): VirtualEntry {
    this.#seed++;
    const incarnation = (this.#seed * 2_654_435_761).toString(HEX_RADIX)
      .padStart(
        INCARNATION_LENGTH,
        "0",
      );
    const entry = new VirtualEntry(this, {
      id,
      zone: location.zone,
      region: location.region,
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
      this.requests.closeConnectionsOf(entry);
      this.publishVms();
    }
  }

  freezeEntry(id: string): void {
    this.#entries.get(id)?.freeze();
  }

  thawEntry(id: string): void {
    this.#thawedAt.set(id, this.time.now);
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

  /** Whether an entry was thawed at or after `since`, so that it was frozen before. */
  wasFrozenSince(id: string, since: number): boolean {
    return (this.#thawedAt.get(id) ?? -1) >= since;
  }

  /** Number of runs of an idempotency key on all endpoints. */
  countRuns(key: string): number {
    return [...this.endpoints.values()].reduce(
      (sum, endpoint) => sum + (endpoint.runs.get(key) ?? 0),
      0,
    );
  }

  /**
   * Returns the idempotency key that a scenario calls `name`. At its first use it is created from the token
   * of the owner entry.
   */
  idempotencyKey(name: string, ownerEntry = ""): string {
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

  /** Records the number of calls to the configuration service so far. */
  recordConfigurationCalls(): void {
    this.#configurationCalls.push({
      at: this.time.now,
      calls: this.configuration.calls,
    });
  }

  /** Number of calls to the configuration service up to a time of the script. */
  configurationCallsAt(at: number): number {
    return this.#configurationCalls.filter((recorded) =>
      recorded.at <= this.startOfScript + at
    )
      .at(-1)?.calls ?? 0;
  }

  /** Updates the VM list with the current entries and endpoints. */
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

  /**
   * Records a violation if a bound customer's data reaches a region other than its home. Uses the newest
   * published text, and does not check while that text is invalid.
   */
  checkHome(
    region: string,
    { what, customer }: { what: string; customer: string },
  ): void {
    const result = parseConfiguration(this.configuration.newest);
    const configuredCustomer = result.ok
      ? [...result.deployment.customers.values()].find(({ id }) =>
        id === customer
      )
      : undefined;
    if (
      configuredCustomer?.bound === true &&
      !this.customersChangingHome.has(customer)
    ) {
      this.violations.checkHome(this.time.now, {
        what,
        customer,
        home: configuredCustomer.home,
        region,
      });
    }
  }

  /** Customers whose home changed so recently that some entries may not know it yet. */
  readonly customersChangingHome = new Set<string>();

  /** Carries out an effect that an entry's core requests. */
  applyEffect(entry: VirtualEntry, effect: Effect): void {
    switch (effect.kind) {
      case "readBody":
        return this.requests.readBody(entry, effect.request);
      case "dispatch":
        return this.requests.dispatch(entry, effect.attempt);
      case "finish":
        return this.requests.finish(effect.request, effect.answer);
      case "sendHeartbeat":
        return this.#sendHeartbeat(entry, effect);
      case "copyConfiguration":
        return this.#copyConfiguration(entry, effect);
      case "readConfiguration":
        return this.#platformTransport.readConfiguration(entry, effect);
      case "listVms":
        return this.#platformTransport.listVms(entry);
      case "sendOutcome":
        return this.#sendOutcome(entry, effect);
      case "sendHandOver":
        return this.#sendHandOver(entry, effect);
      case "sendQuarantine":
        return this.#callPeer(entry, effect.url, {
          deliver: (peer) => {
            peer.sendEvent({ kind: "quarantineNews", news: effect.news });
            return () => {};
          },
          failed: () => {},
        });
      case "pollLoad":
        return this.#platformTransport.pollLoad(entry, effect);
      case "order":
        return this.#platformTransport.order(entry, effect);
      case "exit":
        return this.killEntry(entry.id);
      case "log":
        return this.#onLog(
          entry.id,
          effect,
          this.time.now - this.startOfScript,
        );
    }
  }

  /** Calls a peer. `failed` is called if no reply arrives within the timeout. */
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
      peer.runWhenActive(() => {
        const reply = deliver(peer);
        const timedOut = this.time.now - sentAt > PEER_TIMEOUT_MS;
        this.time.after(delay, () =>
          timedOut || !this.network.reaches(peer, entry) ? failed() : reply());
      }));
  }

  #sendHeartbeat(
    entry: VirtualEntry,
    { url, heartbeat }: Extract<Effect, { kind: "sendHeartbeat" }>,
  ): void {
    this.#callPeer(entry, url, {
      deliver: (peer) => {
        const reply = peer.core.answerHeartbeat(heartbeat, peer.now());
        return () => entry.sendEvent({ kind: "heartbeatReply", reply });
      },
      failed: () => {},
    });
  }

  #copyConfiguration(
    entry: VirtualEntry,
    { from, url, have }: Extract<Effect, { kind: "copyConfiguration" }>,
  ): void {
    const reportCopy = (
      copy: ConfigurationCopy | undefined,
      answered: boolean,
    ): void =>
      entry.sendEvent({ kind: "configurationCopied", from, copy, answered });
    this.#callPeer(entry, url, {
      deliver: (peer) => {
        const copy = peer.core.answerConfiguration(have);
        return () => reportCopy(copy, true);
      },
      failed: () => reportCopy(undefined, false),
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
        receiver.sendEvent({ kind: "outcomeCopy", copy });
        return () => {};
      },
      failed: () => {},
    });
  }

  #sendHandOver(
    entry: VirtualEntry,
    { url, handOver }: Extract<Effect, { kind: "sendHandOver" }>,
  ): void {
    const done = (): void => entry.sendEvent({ kind: "handOverDone" });
    if (this.loseHandOvers) {
      this.time.after(PEER_TIMEOUT_MS, done);
      return;
    }
    const receivedHandOver = JSON.parse(
      JSON.stringify(handOver),
    ) as KeyHandOver;
    this.#callPeer(entry, url, {
      deliver: (peer) => {
        peer.core.answerHandOver(receivedHandOver, peer.now());
        return this.loseHandOverReplies
          ? () => this.time.after(PEER_TIMEOUT_MS, done)
          : done;
      },
      failed: done,
    });
  }

  /** Delay until a model order takes effect and is answered, in milliseconds. */
  orderDelayMs = 1;
}
