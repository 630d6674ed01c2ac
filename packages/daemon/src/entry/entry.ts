/**
 * A gateway process: connects the core to its servers, clients, clock and timer.
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
import { ServerDrain } from "../sockets/index.ts";
import { EffectRunner } from "./effect_runner.ts";

/** Interval between ticks of the core, which is the resolution of deadlines and queue timeouts. */
export const TICK_INTERVAL_MS = 25;
const INCARNATION_BYTES = 6;
const SEED_RANGE = 2 ** 32;

/** Runs the core's effects, passes it events, and serves callers, peers and operators. */
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
  readonly #drains: readonly ServerDrain[];
  readonly #peers: PeerClients;
  readonly #platform: PlatformClient;
  readonly #endpointClient = new EndpointClient();
  readonly #attemptRunner: AttemptRunner;
  readonly #effectRunner: EffectRunner;
  #core!: Core;
  #cancelTick: Cancel = () => {};
  #requestCount = 0;
  #resolveStopped!: () => void;
  /** Resolves when a graceful stop is complete. */
  readonly stopped: Promise<void> = new Promise((resolve) => {
    this.#resolveStopped = resolve;
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
    this.#drains = [
      new ServerDrain(this.#callerServer),
      new ServerDrain(this.#controlServer),
    ];
    this.#attemptRunner = new AttemptRunner({
      incarnation: this.#incarnation,
      credentials: this.credentials,
      commit: (attempt) => this.#commit(attempt),
      emit: (event) => this.handleEvent(event),
    });
    this.#effectRunner = new EffectRunner({
      region: settings.region,
      peers: this.#peers,
      platform: this.#platform,
      endpoints: this.#endpointClient,
      logger,
      emit: (event) => this.handleEvent(event),
    });
  }

  /** Starts listening, creates the core and starts its ticks. */
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
    const random = new SeededRandomness(randomInt(SEED_RANGE));
    this.#core = new Core({ self, random, balancer }, this.#now());
    this.#scheduleTick();
    this.#logger.info("stop", "Listening.", {
      url,
      controlUrl,
      localUrl,
      localControlUrl,
      incarnation: this.#incarnation,
    });
  }

  /** Begins a graceful stop; `stopped` resolves when it is complete. */
  stop(): void {
    this.handleEvent({ kind: "stop" });
  }

  /** Number of requests whose answer has not been sent completely. */
  get unansweredRequests(): number {
    return this.#callers.size;
  }

  /** Passes an event to the core and runs the effects that it returns. */
  handleEvent(event: CoreEvent): void {
    this.#runEffects(this.#core.handle(event, this.#now()));
  }

  // Methods of CallerService.

  newRequestId(): RequestId {
    this.#requestCount++;
    return `${this.#settings.id}-${this.#incarnation.slice(0, 4)}-${
      this.#requestCount.toString(36)
    }` as RequestId;
  }

  defaultChatService(): string {
    const services =
      this.#core.board.configuration.deployment?.services.values() ?? [];
    return [...services].find((service) => service.kind === "model")?.id ?? "";
  }

  open(caller: Caller): void {
    this.#callers.set(caller.id, caller);
    this.handleEvent({ kind: "request", head: caller.request.head });
  }

  bodyRead(caller: Caller, facts: BodyFacts): void {
    this.handleEvent({ kind: "body", request: caller.id, facts });
  }

  bodyFailed(caller: Caller, detail: string): void {
    this.handleEvent({ kind: "bodyFailed", request: caller.id, detail });
  }

  disconnected(caller: Caller): void {
    this.handleEvent({ kind: "callerGone", request: caller.id });
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

  // Methods of ControlService.

  heartbeat(heartbeat: Heartbeat): HeartbeatReply {
    return this.#core.answerHeartbeat(heartbeat, this.#now());
  }

  configuration(have: Revision): ConfigurationCopy | undefined {
    return this.#core.answerConfiguration(have);
  }

  outcome(copy: OutcomeCopy): void {
    this.handleEvent({ kind: "outcomeCopy", copy });
  }

  handOver(handOver: KeyHandOver): boolean {
    return this.#core.answerHandOver(handOver, this.#now());
  }

  quarantine(news: QuarantineUpdate): void {
    this.handleEvent({ kind: "quarantineNews", news });
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

  /** Schedules the next tick, after pending socket reads: a tick must not end requests whose data is there. */
  #scheduleTick(): void {
    this.#cancelTick = afterPoll(TICK_INTERVAL_MS, () => {
      this.#scheduleTick();
      this.handleEvent({ kind: "tick" });
    });
  }

  #now(): Instant {
    return instant(performance.now());
  }

  #commit(attempt: AttemptId): boolean {
    const effects = this.#core.handle({ kind: "commit", attempt }, this.#now());
    this.#runEffects(effects);
    return effects.some((effect) => effect.kind === "proceed");
  }

  #runEffects(effects: readonly Effect[]): void {
    for (const effect of effects) {
      this.#runEffect(effect);
    }
  }

  #runEffect(effect: Effect): void {
    switch (effect.kind) {
      case "readBody":
        void this.#callers.get(effect.request)?.readBody();
        return;
      case "dispatch":
        this.#dispatch(effect);
        return;
      case "abort":
        this.#attemptRunner.abort(effect.attempt);
        return;
      case "finish":
        this.#callers.get(effect.request)?.finish(effect.answer);
        return;
      case "exit":
        void this.#close();
        return;
      default:
        this.#effectRunner.run(effect);
    }
  }

  #dispatch({ attempt }: Extract<Effect, { kind: "dispatch" }>): void {
    const caller = this.#callers.get(attempt.request);
    if (caller === undefined) {
      this.handleEvent({
        kind: "attemptEnded",
        attempt: attempt.id,
        end: { kind: "unsent", detail: "The caller has disconnected" },
      });
      return;
    }
    void this.#attemptRunner.run(attempt, caller);
  }

  async #close(): Promise<void> {
    this.#cancelTick();
    this.#platform.close();
    await Promise.all(this.#drains.map(closeServer));
    await Promise.all([
      this.#attemptRunner.close(),
      this.#endpointClient.close(),
      this.#peers.close(),
    ]);
    this.#resolveStopped();
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
  const { address, port: actualPort, family } = server.address() as AddressInfo;
  return `http://${family === "IPv6" ? `[${address}]` : address}:${actualPort}`;
}

/** Resolves once each connection has sent its last answer and is closed. */
async function closeServer(drain: ServerDrain): Promise<void> {
  drain.close();
  await drain.closed;
}
