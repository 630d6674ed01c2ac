/**
 * One entry for callers that name routes: the gateway's decisions with their sockets, clock and timer.
 *
 * @module
 */
import { randomBytes, randomInt } from "node:crypto";
import type { RequestListener, Server } from "node:http";
import {
  type AttemptId,
  type CallAttempt,
  type ContentDigest,
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
import { afterPoll, type Cancel, Suspensions } from "../timers/index.ts";
import { CatalogueRunner } from "./catalogue_runner.ts";
import { Connections } from "./connections.ts";
import { Datagrams } from "./datagrams.ts";
import type { Exchange } from "./exchange.ts";
import { applyLimits, createIngress, type IngressEvents } from "./ingress.ts";
import { readGauges } from "./gauges.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { OpenAnswers } from "./open_answers.ts";
import { OutboundCall, type OutboundTools } from "./outbound_call.ts";
import type {
  CallerProtocol,
  CatalogueSource,
  EndpointProtocol,
} from "./protocol.ts";
import {
  type ControlSources,
  createAppServer,
  lazyControlApp,
  listenOn,
  shareServer,
} from "./servers.ts";
import { reportGateway } from "./status.ts";

const INCARNATION_BYTES = 6;
const SEED_LIMIT = 2 ** 32;

/** How a platform is spoken to. */
export interface GatewayPlatform {
  readonly callers: CallerProtocol;
  readonly endpoints: EndpointProtocol;
  readonly source: CatalogueSource;
  /** Listeners for the directory and for readiness. */
  readonly directory: (
    gateway: Gateway,
    now: () => Instant,
  ) => RequestListener;
  readonly readiness: (gateway: Gateway) => RequestListener;
}

/** A running entry. */
export class GatewayEntry {
  readonly #settings: GatewaySettings;
  readonly #platform: GatewayPlatform;
  readonly #logger: Logger;
  readonly #gateway: Gateway;
  readonly #metrics = new GatewayMetrics();
  readonly #connections = new Connections();
  readonly #calls = new Map<RequestId, Exchange>();
  readonly #answers = new OpenAnswers();
  readonly #attempts = new Map<AttemptId, OutboundCall>();
  readonly #outbound: OutboundTools;
  readonly #datagrams: Datagrams;
  readonly #catalogue: CatalogueRunner;
  readonly #suspensions = new Suspensions();
  readonly #servers: Server[] = [];
  #requests = 0;
  #cancelTick: Cancel = () => {};
  /** For how long the timer was set. */
  #pause = milliseconds(0);
  #ended = false;
  #exited!: () => void;
  /** Resolves when a planned stop is complete. */
  readonly stopped: Promise<void> = new Promise((resolve) => {
    this.#exited = resolve;
  });

  constructor(
    settings: GatewaySettings,
    { platform, logger }: { platform: GatewayPlatform; logger: Logger },
  ) {
    this.#settings = settings;
    this.#platform = platform;
    this.#logger = logger;
    const incarnation = randomBytes(INCARNATION_BYTES).toString(
      "hex",
    ) as Incarnation;
    this.#gateway = new Gateway({
      self: { ...settings.self, incarnation },
      random: new SeededRandomness(randomInt(SEED_LIMIT)),
    }, this.#now());
    this.#outbound = {
      incarnation,
      protocol: platform.endpoints,
      connections: this.#connections,
      now: () => this.#now(),
      tell: (event) => this.#tell(event),
      done: ({ id }) => this.#attempts.delete(id),
    };
    this.#datagrams = new Datagrams((message) =>
      this.#tell({ kind: "datagram", message })
    );
    this.#catalogue = new CatalogueRunner({
      source: platform.source,
      tell: (event) => void this.#tell(event),
    });
  }

  /** Listens and starts the loop. */
  async start(): Promise<void> {
    const { addresses } = this.#settings;
    const control = lazyControlApp(this.#control());
    const callers = createIngress(this.#ingress(), { relays: false });
    const peers = shareServer(
      createIngress(this.#ingress(), { relays: true }),
      control,
    );
    const { directory, readiness } = this.#platform;
    this.#servers.push(
      callers,
      peers,
      createAppServer(control),
      createAppServer(directory(this.#gateway, () => this.#now())),
      createAppServer(readiness(this.#gateway)),
    );
    const places = [
      addresses.callers,
      addresses.peers,
      addresses.control,
      addresses.directory,
      addresses.readiness,
    ];
    await this.#datagrams.listen(addresses.peers.host, addresses.peers.port);
    await Promise.all(
      this.#servers.map((server, index) => listenOn(server, places[index]!)),
    );
    this.#tick();
    this.#logger.info("stop", "Listening.", { ...addresses });
  }

  /**
   * Takes changed settings. Only figures can change: an entry that gets other addresses or another place
   * is started anew.
   */
  reload({ self }: GatewaySettings): void {
    this.#tell({ kind: "rebound", bounds: self.bounds });
    this.#logger.info("stop", "Settings were read again.", {});
  }

  /** Begins a planned stop; `stopped` tells of its end. */
  stop(): void {
    this.#tell({ kind: "stop" });
  }

  #tick(): void {
    this.#tell({ kind: "tick" });
    this.#setTimer();
  }

  #setTimer(): void {
    this.#cancelTick();
    this.#pause = this.#gateway.tickInterval;
    if (!this.#ended) {
      // Ticks judge who was silent and whose time is over: what was received comes first.
      this.#cancelTick = afterPoll(this.#pause, () => this.#tick());
    }
  }

  /** Something came that can't wait for the tick that is set. */
  #hasten(): void {
    if (this.#gateway.tickInterval < this.#pause) {
      this.#setTimer();
    }
  }

  #now(): Instant {
    return instant(performance.now());
  }

  #tell(event: GatewayEvent): readonly GatewayEffect[] {
    const slept = this.#suspensions.take();
    if (slept > 0) {
      this.#gateway.handle({ kind: "slept", time: slept }, this.#now());
    }
    const effects = this.#gateway.handle(event, this.#now());
    for (const effect of effects) {
      this.#run(effect);
    }
    return effects;
  }

  #ingress(): IngressEvents {
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
      open: (exchange) => {
        this.#calls.set(exchange.id, exchange);
        this.#answers.add(exchange);
        this.#tell({ kind: "arrived", head: exchange.head });
        this.#hasten();
      },
      gone: (request) => {
        this.#calls.delete(request);
        this.#tell({ kind: "callerGone", request });
      },
    };
  }

  #control(): ControlSources {
    return {
      snapshot: () => this.#gateway.snapshot(),
      status: () => reportGateway(this.#gateway, this.#now()),
      prometheus: () =>
        this.#metrics.toPrometheus(readGauges(this.#gateway, {
          connections: this.#connections,
          datagrams: this.#datagrams,
        }, this.#now())),
      isReady: () => this.#gateway.ready,
      release: (digest) => this.#release(digest as ContentDigest),
    };
  }

  #release(content: ContentDigest): boolean {
    const held = this.#gateway.quarantine.holds.has(content);
    this.#tell({ kind: "release", content });
    return held;
  }

  #run(effect: GatewayEffect): void {
    switch (effect.kind) {
      case "send":
        return this.#send(effect.attempt);
      case "abort":
        return this.#attempts.get(effect.attempt)?.abort();
      case "knock":
        return this.#knock(effect);
      case "refuse":
        return this.#close(effect.request, (exchange) => {
          exchange.refuse(effect.refusal);
          this.#metrics.refused(effect.refusal.reason);
        });
      case "breakOff":
        return this.#close(effect.request, (exchange) => exchange.breakOff());
      case "complete":
        return this.#close(effect.request, (exchange) => {
          this.#metrics.answered(exchange.status, exchange.age());
          exchange.end();
        });
      case "datagram":
        return this.#datagrams.send(effect.to, effect.message);
      case "readCatalogue":
        this.#applyLimits();
        return this.#catalogue.read(effect);
      case "copyCatalogue":
        return this.#catalogue.copy(effect);
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
    const tools = this.#outbound;
    const outbound = new OutboundCall(attempt, { exchange, tools });
    this.#attempts.set(attempt.id, outbound);
    outbound.start();
  }

  #knock(
    { endpoint, life, address }: Extract<GatewayEffect, { kind: "knock" }>,
  ): void {
    this.#connections.knock(
      address,
      () => this.#tell({ kind: "portClosed", endpoint, life }),
    );
  }

  #close(request: RequestId, end: (exchange: Exchange) => void): void {
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

  #stopListening(): void {
    const [callers, peers] = this.#servers;
    for (const server of [callers!, peers!]) {
      server.close();
      server.closeIdleConnections();
    }
  }

  async #exit(within: Milliseconds): Promise<void> {
    this.#ended = true;
    this.#cancelTick();
    for (const server of this.#servers) {
      server.close();
      server.closeIdleConnections();
    }
    this.#datagrams.close();
    await this.#answers.left(within);
    this.#connections.closeAll();
    await this.#platform.source.close();
    this.#exited();
  }
}
