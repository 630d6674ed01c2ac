/**
 * The gateway process: connects the gateway's decision logic to sockets, clock and timer.
 *
 * @module
 */
import { randomBytes, randomInt } from "node:crypto";
import type { RequestListener, Server } from "node:http";
import {
  type AttemptId,
  type CallAttempt,
  type CrashSubject,
  Gateway,
  type GatewayEffect,
  type GatewayEvent,
  type Incarnation,
  type Instant,
  instant,
  type Milliseconds,
  milliseconds,
  type RequestId,
  SeededRandomness,
} from "@sassafrasstep/core";
import type { Logger } from "../logs/index.ts";
import type { GatewaySettings } from "../settings/index.ts";
import { ServerDrain } from "../sockets/index.ts";
import { afterPoll, type Cancel, SuspensionDetector } from "../timers/index.ts";
import { BodyBudget } from "./body_budget.ts";
import { CatalogueReader } from "./catalogue_reader.ts";
import { ConnectionPool } from "./connection_pool.ts";
import { DatagramSocket } from "./datagram_socket.ts";
import type { Exchange } from "./exchange.ts";
import { applyLimits, createIngress, type IngressOptions } from "./ingress.ts";
import { HealthCheck } from "./health_check.ts";
import { readGauges } from "./gauges.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { OutboundCall, type OutboundContext } from "./outbound_call.ts";
import type {
  CallerProtocol,
  CatalogueSource,
  EndpointProtocol,
} from "./protocol.ts";
import {
  type ControlService,
  createAppServer,
  createCatalogueHandler,
  lazyControlApp,
  listenOn,
  routeProcedures,
} from "./servers.ts";
import { reportGateway } from "./status.ts";

const INCARNATION_BYTES = 6;
const SEED_LIMIT = 2 ** 32;

/** Platform-specific parts of an entry. */
export interface PlatformAdapter {
  readonly callers: CallerProtocol;
  readonly endpoints: EndpointProtocol;
  readonly source: CatalogueSource;
  /** Creates the listener that serves the directory of entries. */
  readonly directory: (
    gateway: Gateway,
    now: () => Instant,
  ) => RequestListener;
  /** Creates the listener that serves the readiness check. */
  readonly readiness: (gateway: Gateway) => RequestListener;
}

/** A gateway entry: its servers, its calls and the loop that drives them. */
export class GatewayEntry {
  readonly #settings: GatewaySettings;
  readonly #platform: PlatformAdapter;
  readonly #logger: Logger;
  readonly #gateway: Gateway;
  readonly #metrics = new GatewayMetrics();
  readonly #connections = new ConnectionPool();
  readonly #calls = new Map<RequestId, Exchange>();
  readonly #attempts = new Map<AttemptId, OutboundCall>();
  readonly #outboundContext: OutboundContext;
  readonly #datagrams: DatagramSocket;
  readonly #catalogueReader: CatalogueReader;
  readonly #bodies: BodyBudget;
  readonly #suspensions = new SuspensionDetector();
  readonly #servers: Server[] = [];
  readonly #drains: ServerDrain[] = [];
  #requests = 0;
  #cancelTick: Cancel = () => {};
  /** Delay with which the tick timer was last set. */
  #tickDelay = milliseconds(0);
  #exiting = false;
  #resolveStopped!: () => void;
  /** Resolves when a graceful shutdown is complete. */
  readonly stopped: Promise<void> = new Promise((resolve) => {
    this.#resolveStopped = resolve;
  });

  constructor(
    settings: GatewaySettings,
    { platform, logger }: { platform: PlatformAdapter; logger: Logger },
  ) {
    this.#settings = settings;
    this.#platform = platform;
    this.#logger = logger;
    this.#bodies = new BodyBudget(settings.memoryBytes);
    const incarnation = randomBytes(INCARNATION_BYTES).toString(
      "hex",
    ) as Incarnation;
    this.#gateway = new Gateway({
      self: { ...settings.self, incarnation },
      random: new SeededRandomness(randomInt(SEED_LIMIT)),
    }, this.#now());
    this.#outboundContext = {
      incarnation,
      protocol: platform.endpoints,
      connections: this.#connections,
      now: () => this.#now(),
      dispatch: (event) => this.#dispatch(event),
      onDone: ({ id }) => this.#attempts.delete(id),
    };
    this.#datagrams = new DatagramSocket((message) =>
      this.#dispatch({ kind: "datagram", message })
    );
    this.#catalogueReader = new CatalogueReader({
      source: platform.source,
      dispatch: (event) => void this.#dispatch(event),
    });
  }

  /** Starts listening and begins the tick loop. */
  async start(): Promise<void> {
    const { addresses } = this.#settings;
    const control = lazyControlApp(this.#controlService());
    const callers = createIngress(this.#ingressOptions(), { relays: false });
    const peers = routeProcedures(
      createIngress(this.#ingressOptions(), { relays: true }),
      {
        catalogue: createCatalogueHandler({
          snapshot: () => this.#gateway.snapshot(),
        }),
        controlApp: control,
      },
    );
    const { directory, readiness } = this.#platform;
    this.#servers.push(
      callers,
      peers,
      createAppServer(control),
      createAppServer(directory(this.#gateway, () => this.#now())),
      createAppServer(readiness(this.#gateway)),
    );
    this.#drains.push(
      ...this.#servers.map((server) => new ServerDrain(server)),
    );
    const bindings = [
      addresses.callers,
      addresses.peers,
      addresses.control,
      addresses.directory,
      addresses.readiness,
    ];
    await this.#datagrams.listen(addresses.peers.host, addresses.peers.port);
    await Promise.all(
      this.#servers.map((server, index) => listenOn(server, bindings[index]!)),
    );
    this.#tick();
    this.#logger.info("stop", "Listening.", { ...addresses });
  }

  /**
   * Applies changed settings. Only the bounds can change: other addresses or another location require a
   * restart.
   */
  reload({ self }: GatewaySettings): void {
    this.#dispatch({ kind: "rebound", bounds: self.bounds });
    this.#logger.info("stop", "Settings reloaded.", {});
  }

  /** Begins a graceful shutdown; `stopped` resolves when it is complete. */
  stop(): void {
    this.#dispatch({ kind: "stop" });
  }

  #tick(): void {
    this.#dispatch({ kind: "tick" });
    this.#setTimer();
  }

  #setTimer(): void {
    this.#cancelTick();
    this.#tickDelay = this.#gateway.tickInterval;
    if (!this.#exiting) {
      // Ticks check for silence and expired deadlines, so data already received must be processed first.
      this.#cancelTick = afterPoll(this.#tickDelay, () => this.#tick());
    }
  }

  /** Moves the next tick forward if the gateway now needs it earlier. */
  #rescheduleTick(): void {
    if (this.#gateway.tickInterval < this.#tickDelay) {
      this.#setTimer();
    }
  }

  #now(): Instant {
    return instant(performance.now());
  }

  #dispatch(event: GatewayEvent): readonly GatewayEffect[] {
    const suspendedTime = this.#suspensions.take();
    if (suspendedTime > 0) {
      this.#handle({ kind: "slept", time: suspendedTime });
    }
    return this.#handle(event);
  }

  #handle(event: GatewayEvent): readonly GatewayEffect[] {
    const effects = this.#gateway.handle(event, this.#now());
    for (const effect of effects) {
      this.#runEffect(effect);
    }
    return effects;
  }

  #ingressOptions(): IngressOptions {
    return {
      protocol: this.#platform.callers,
      limits: () => this.#gateway.catalogue.document?.limits,
      closing: () => this.#gateway.stopping,
      nextRequestId: () => {
        this.#requests++;
        return `${this.#settings.self.id}-${
          this.#requests.toString(36)
        }` as RequestId;
      },
      onRequest: (exchange) => {
        this.#calls.set(exchange.id, exchange);
        this.#dispatch({ kind: "arrived", head: exchange.head });
        this.#rescheduleTick();
      },
      bodies: this.#bodies,
      onRefused: ({ reason }) => this.#metrics.countRefusal(reason),
      onCallerGone: (request) => {
        this.#calls.delete(request);
        this.#dispatch({ kind: "callerGone", request });
      },
    };
  }

  #controlService(): ControlService {
    return {
      snapshot: () => this.#gateway.snapshot(),
      status: () => reportGateway(this.#gateway, this.#now()),
      prometheus: () =>
        this.#metrics.toPrometheus(
          readGauges(this.#gateway, {
            connections: this.#connections,
            datagrams: this.#datagrams,
            bodies: this.#bodies,
          }, this.#now()),
          this.#gateway.calls.retries.counts,
        ),
      isReady: () => this.#gateway.ready,
      release: (digest) => this.#release(digest as CrashSubject),
    };
  }

  #release(subject: CrashSubject): boolean {
    const wasHeld = this.#gateway.quarantine.holds.has(subject);
    this.#dispatch({ kind: "release", subject });
    return wasHeld;
  }

  #runEffect(effect: GatewayEffect): void {
    switch (effect.kind) {
      case "send":
        return this.#send(effect.attempt);
      case "abort":
        return this.#attempts.get(effect.attempt)?.abort();
      case "knock":
        return this.#probe(effect);
      case "checkHealth":
        return new HealthCheck(effect, this.#outboundContext).start();
      case "refuse":
        return this.#closeCall(effect.request, (exchange) => {
          exchange.refuse(effect.refusal);
          this.#metrics.countRefusal(effect.refusal.reason);
        });
      case "breakOff":
        return this.#closeCall(effect.request, (exchange) => exchange.abort());
      case "complete":
        return this.#closeCall(effect.request, (exchange) => {
          this.#metrics.recordAnswer(exchange.status, exchange.age());
          exchange.end();
        });
      case "datagram":
        return this.#datagrams.send(effect.to, effect.message);
      case "readCatalogue":
        this.#applyLimits();
        return this.#catalogueReader.read(effect);
      case "askNewest":
        return this.#catalogueReader.askNewest(effect);
      case "copyCatalogue":
        return this.#catalogueReader.copy(effect);
      case "log":
        return this.#logger.info(effect.part, effect.text, effect.fields);
      case "stopListening":
        return this.#stopListening();
      case "exit":
        void this.#exit(effect.within);
    }
  }

  #send(attempt: CallAttempt): void {
    const exchange = this.#calls.get(attempt.request);
    if (exchange === undefined) {
      return;
    }
    const context = this.#outboundContext;
    const outbound = new OutboundCall(attempt, { exchange, context });
    this.#attempts.set(attempt.id, outbound);
    outbound.start();
  }

  #probe(
    { endpoint, life, address }: Extract<GatewayEffect, { kind: "knock" }>,
  ): void {
    this.#connections.probe(
      address,
      () => this.#dispatch({ kind: "portClosed", endpoint, life }),
    );
  }

  #closeCall(request: RequestId, end: (exchange: Exchange) => void): void {
    const exchange = this.#calls.get(request);
    this.#calls.delete(request);
    if (exchange !== undefined) {
      end(exchange);
    }
  }

  #applyLimits(): void {
    const limits = this.#gateway.catalogue.document?.limits;
    if (limits !== undefined) {
      applyLimits(this.#servers[0]!, limits);
    }
  }

  /** The servers for callers and for peers. */
  #requestDrains(): readonly ServerDrain[] {
    return this.#drains.slice(0, 2);
  }

  #stopListening(): void {
    this.#requestDrains().forEach((drain) => drain.close());
  }

  async #exit(within: Milliseconds): Promise<void> {
    this.#exiting = true;
    this.#cancelTick();
    this.#drains.forEach((drain) => drain.close());
    this.#datagrams.close();
    const drains = this.#requestDrains().map(({ closed }) => closed);
    await waitAtMost(within, Promise.all(drains));
    this.#connections.closeAll();
    await this.#platform.source.close();
    this.#resolveStopped();
  }
}

async function waitAtMost(
  time: Milliseconds,
  work: Promise<unknown>,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise((resolve) => timer = setTimeout(resolve, time));
  await Promise.race([work, timeout]);
  clearTimeout(timer);
}
