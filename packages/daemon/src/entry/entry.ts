/**
 * One entry: the core with its sockets, clock and timer.
 *
 * @module
 */
import { randomBytes, randomInt } from "node:crypto";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import {
  type AttemptId,
  type BodyFacts,
  type ConfigurationCopy,
  Core,
  type CoreEvent,
  type DecisionStep,
  type Effect,
  type EntryList,
  type Heartbeat,
  type HeartbeatReply,
  type Incarnation,
  type Instant,
  instant,
  type KeyHandOver,
  listEntries,
  type OutcomeCopy,
  type QuarantineUpdate,
  type RequestId,
  type Revision,
  SeededRandomness,
  type ServiceId,
} from "@sassafrasstep/core";
import {
  type Caller,
  type CallerService,
  createCallerServer,
} from "../callers/index.ts";
import {
  type ControlService,
  createControlServer,
  type MetricsReport,
  reportMetrics,
  reportStatus,
  type Status,
} from "../control/index.ts";
import type { Logger } from "../logs/index.ts";
import { AttemptRunner, EndpointClient } from "../outbound/index.ts";
import { Credentials, PeerClients } from "../peers/index.ts";
import { PlatformClient } from "../platform/index.ts";
import { afterPoll, type Cancel } from "../timers/index.ts";
import type { Address, Settings } from "../settings/index.ts";
import { EffectRunner } from "./effect_runner.ts";

/** Between ticks of the core: the grain of deadlines and queues. */
export const TICK_MS = 25;
const INCARNATION_BYTES = 6;
const SEED_LIMIT = 2 ** 32;

/** A running entry. */
export class Entry implements CallerService, ControlService {
  readonly credentials: Credentials;
  readonly deployment: string;
  readonly #settings: Settings;
  readonly #logger: Logger;
  readonly #incarnation = randomBytes(INCARNATION_BYTES).toString(
    "hex",
  ) as Incarnation;
  readonly #callers = new Map<RequestId, Caller>();
  readonly #callerServer: Server;
  readonly #controlServer: Server;
  readonly #peers: PeerClients;
  readonly #platform: PlatformClient;
  readonly #endpointClient = new EndpointClient();
  readonly #runner: AttemptRunner;
  readonly #effects: EffectRunner;
  #core!: Core;
  #cancelTick: Cancel = () => {};
  #requests = 0;
  #exited!: () => void;
  /** Resolves when a planned stop is complete. */
  readonly stopped: Promise<void> = new Promise((resolve) => {
    this.#exited = resolve;
  });

  constructor(settings: Settings, logger: Logger) {
    this.#settings = settings;
    this.#logger = logger;
    this.deployment = settings.deployment;
    this.credentials = new Credentials(settings.secret, settings.deployment);
    this.#peers = new PeerClients(this.credentials);
    this.#platform = new PlatformClient(settings);
    this.#callerServer = createCallerServer(this);
    this.#controlServer = createControlServer(this, this.credentials);
    this.#runner = new AttemptRunner({
      incarnation: this.#incarnation,
      credentials: this.credentials,
      commit: (attempt) => this.#commit(attempt),
      tell: (event) => this.tell(event),
    });
    this.#effects = new EffectRunner({
      region: settings.region,
      peers: this.#peers,
      platform: this.#platform,
      endpoints: this.#endpointClient,
      logger,
      tell: (event) => this.tell(event),
    });
  }

  /** Listens and starts the loop. */
  async start(): Promise<void> {
    const { advertisedUrl, advertisedControlUrl } = this.#settings;
    const localUrl = await listen(this.#callerServer, this.#settings.listen);
    const localControlUrl = await listen(
      this.#controlServer,
      this.#settings.control,
    );
    const url = advertisedUrl ?? localUrl;
    const controlUrl = advertisedControlUrl ?? localControlUrl;
    const {
      id,
      deployment,
      region,
      zone,
      seeds,
      heartbeatPeriod,
      epochLength,
      balancer,
    } = this.#settings;
    const self = {
      id,
      incarnation: this.#incarnation,
      deployment,
      region,
      zone,
      url,
      controlUrl,
      seeds,
      heartbeatPeriod,
      epochLength,
    };
    const random = new SeededRandomness(randomInt(SEED_LIMIT));
    this.#core = new Core({ self, random, balancer }, this.#now());
    this.#setTick();
    this.#logger.info("stop", "Listening.", {
      url,
      controlUrl,
      localUrl,
      localControlUrl,
      incarnation: this.#incarnation,
    });
  }

  /** Begins a planned stop; `stopped` tells of its end. */
  stop(): void {
    this.tell({ kind: "stop" });
  }

  /** Requests whose answer has not left yet. */
  get unanswered(): number {
    return this.#callers.size;
  }

  /** Tells the core what happened and does what it says. */
  tell(event: CoreEvent): void {
    this.#run(this.#core.handle(event, this.#now()));
  }

  // For callers.

  newRequestId(): RequestId {
    this.#requests++;
    return `${this.#settings.id}-${this.#incarnation.slice(0, 4)}-${
      this.#requests.toString(36)
    }` as RequestId;
  }

  defaultChatService(): string {
    const services =
      this.#core.board.configuration.deployment?.services.values() ?? [];
    return [...services].find((service) => service.kind === "model")?.id ?? "";
  }

  open(caller: Caller): void {
    this.#callers.set(caller.id, caller);
    this.tell({ kind: "request", head: caller.request.head });
  }

  bodyRead(caller: Caller, facts: BodyFacts): void {
    this.tell({ kind: "body", request: caller.id, facts });
  }

  bodyFailed(caller: Caller, detail: string): void {
    this.tell({ kind: "bodyFailed", request: caller.id, detail });
  }

  gone(caller: Caller): void {
    this.tell({ kind: "callerGone", request: caller.id });
  }

  closed(caller: Caller): void {
    this.#callers.delete(caller.id);
  }

  listEntries(
    tokenDigest: string | undefined,
    service: ServiceId | undefined,
  ): EntryList | undefined {
    const { board } = this.#core;
    const { deployment } = board.configuration;
    const customer = tokenDigest === undefined
      ? undefined
      : deployment?.customerByDigest.get(tokenDigest);
    if (customer === undefined) {
      return undefined;
    }
    const found = service === undefined
      ? undefined
      : deployment?.services.get(service);
    return listEntries(board, { customer, service: found }, this.#now());
  }

  // For peers and operators.

  heartbeat(heartbeat: Heartbeat): HeartbeatReply {
    return this.#core.answerHeartbeat(heartbeat, this.#now());
  }

  configuration(have: Revision): ConfigurationCopy | undefined {
    return this.#core.answerConfiguration(have);
  }

  outcome(copy: OutcomeCopy): void {
    this.tell({ kind: "outcomeCopy", copy });
  }

  handOver(handOver: KeyHandOver): boolean {
    return this.#core.answerHandOver(handOver, this.#now());
  }

  quarantine(news: QuarantineUpdate): void {
    this.tell({ kind: "quarantineNews", news });
  }

  status(): Status {
    return reportStatus(this.#core.board, this.#now());
  }

  explain(request: RequestId): readonly DecisionStep[] | undefined {
    return this.#core.explanations.find(request);
  }

  metrics(): MetricsReport {
    return reportMetrics(this.#core.metrics);
  }

  prometheus(): string {
    return this.#core.metrics.toPrometheus();
  }

  isReady(): boolean {
    return this.#core.board.lifecycle.phase === "ready";
  }

  /** Ticks end what is over time: what was received comes first. */
  #setTick(): void {
    this.#cancelTick = afterPoll(TICK_MS, () => {
      this.#setTick();
      this.tell({ kind: "tick" });
    });
  }

  #now(): Instant {
    return instant(performance.now());
  }

  #commit(attempt: AttemptId): boolean {
    const effects = this.#core.handle({ kind: "commit", attempt }, this.#now());
    this.#run(effects);
    return effects.some((effect) => effect.kind === "proceed");
  }

  #run(effects: readonly Effect[]): void {
    for (const effect of effects) {
      this.#runOne(effect);
    }
  }

  #runOne(effect: Effect): void {
    switch (effect.kind) {
      case "readBody":
        void this.#callers.get(effect.request)?.readBody();
        return;
      case "dispatch":
        this.#dispatch(effect);
        return;
      case "abort":
        this.#runner.abort(effect.attempt);
        return;
      case "finish":
        this.#callers.get(effect.request)?.finish(effect.answer);
        return;
      case "exit":
        void this.#close();
        return;
      default:
        this.#effects.run(effect);
    }
  }

  #dispatch({ attempt }: Extract<Effect, { kind: "dispatch" }>): void {
    const caller = this.#callers.get(attempt.request);
    if (caller === undefined) {
      this.tell({
        kind: "attemptEnded",
        attempt: attempt.id,
        end: { kind: "unsent", detail: "The caller has gone" },
      });
      return;
    }
    void this.#runner.run(attempt, caller);
  }

  async #close(): Promise<void> {
    this.#cancelTick();
    this.#platform.close();
    await Promise.all([
      closeServer(this.#callerServer),
      closeServer(this.#controlServer),
    ]);
    await Promise.all([
      this.#runner.close(),
      this.#endpointClient.close(),
      this.#peers.close(),
    ]);
    this.#exited();
  }
}

async function listen(
  server: Server,
  { host, port }: Address,
): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const { address, port: actual, family } = server.address() as AddressInfo;
  return `http://${family === "IPv6" ? `[${address}]` : address}:${actual}`;
}

/** Ends kept connections at once, and the others when their last answer has left. */
async function closeServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
