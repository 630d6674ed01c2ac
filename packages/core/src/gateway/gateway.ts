/**
 * All that an entry decides about requests of callers that name routes: events in, effects out. No
 * sockets, no clock, no unseeded randomness.
 *
 * @module
 */
import type { CustomerLimits } from "../customers/index.ts";
import type { EndpointTerms } from "../endpoint_terms/index.ts";
import { FleetController } from "../fleet/index.ts";
import {
  type Instant,
  type Milliseconds,
  milliseconds,
  type Randomness,
} from "../ids/index.ts";
import { ListenedTime } from "../listening/index.ts";
import type { CatalogueSnapshot } from "../routes/index.ts";
import { CallController } from "./call_controller.ts";
import { CallRouter } from "./call_router.ts";
import { CatalogueController } from "./catalogue_controller.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import {
  createExchange,
  createLimits,
  CustomerDuties,
} from "./customer_link.ts";
import { ColdAllowance } from "./cold_allowance.ts";
import type { CurrencyExchange } from "./currency_exchange.ts";
import { createEndpointTerms } from "./endpoint_terms_link.ts";
import { EndpointRegistry } from "./endpoint_registry.ts";
import {
  type DirectoryAnswer,
  type DirectoryQuestion,
  nameEntries,
} from "./entry_directory.ts";
import type {
  GatewayBounds,
  GatewayEffect,
  GatewayEvent,
  GatewaySelf,
} from "./messages.ts";
import { RegionController } from "./region_controller.ts";
import type { QuarantineController } from "../quarantine/index.ts";
import { createQuarantine } from "./quarantine_link.ts";
import { RepeatBudget } from "./repeat_budget.ts";
import { ServingSet } from "./serving_set.ts";
import { tickPause } from "./tick_pause.ts";
import { StopController } from "./stop_controller.ts";
import { WorkReporter } from "./work_reporter.ts";

/** Between pings of the fleet. */
const FLEET_PERIOD_MS = 500;
/** The loop ticks far more often; a larger gap means that the process stood still. */
const PAUSE_MS = 1_000;
/** Without a request for so long an entry that is not named stands by: lists last a second, some three. */
const REST_AFTER_MS = 4_000;

/** A key opens nothing this much before it may not: the time since a request was sent is not known. */
const KEY_MARGIN_MS = 250;
/** Part of the time that the document may be old after which callers are better served elsewhere. */
const OUTDATED_PART = 0.6;

/** One entry's decisions. */
export class Gateway {
  readonly self: GatewaySelf;
  readonly fleet: FleetController;
  readonly #catalogue: CatalogueController;
  readonly #endpoints: EndpointRegistry;
  readonly #regions: RegionController;
  readonly #calls: CallController;
  readonly #reporter: WorkReporter;
  readonly #stop: StopController;
  readonly #budget: RepeatBudget;
  readonly #cold: ColdAllowance;
  readonly #serving: ServingSet;
  readonly #quarantine: QuarantineController;
  readonly #listened: ListenedTime;
  readonly #exchange: CurrencyExchange;
  readonly #limits: CustomerLimits;
  readonly terms: EndpointTerms;
  #bounds: GatewayBounds;
  #effects: GatewayEffect[] = [];
  #lastAt: Instant;
  /** Whether it stands by: callers are not named it, and those that had been are done. */
  #resting = false;

  constructor(
    { self, random }: { self: GatewaySelf; random: Randomness },
    now: Instant,
  ) {
    this.self = self;
    this.#bounds = self.bounds;
    this.#lastAt = now;
    this.#listened = new ListenedTime(now);
    const emit = (effect: GatewayEffect): void => {
      this.#effects.push(effect);
    };
    this.#catalogue = new CatalogueController({
      emit,
      random,
      now,
      newestHolder: () => this.fleet.newestHolder(),
      newestDocument: () => this.fleet.newestDocument(),
      resting: () => this.#resting,
      confirming: (at) =>
        !this.#catalogue.keyed ? "no" : duties.reads(at) ? "reads" : "asks",
    });
    this.#endpoints = new EndpointRegistry({
      region: self.region,
      regionByZone: self.regionByZone,
      catalogue: this.#catalogue,
      listened: this.#listened,
      isLeaving: (record) => this.terms.departures.has(record),
      restOf: (record, at) => this.terms.rests.waitFor(record, at),
    });
    this.#regions = new RegionController({
      region: self.region,
      catalogue: this.#catalogue,
      endpoints: this.#endpoints,
      limitOf: (record) => this.terms.limits.limitOf(record),
      now,
    });
    this.fleet = new FleetController({
      self,
      seeds: self.seeds,
      period: FLEET_PERIOD_MS,
      random,
      listened: this.#listened,
      send: (to, message) => emit({ kind: "datagram", to, message }),
      holdings: () => ({
        document: this.#catalogue.document?.version ?? 0 as never,
        catalogue: this.#catalogue.position,
      }),
      summary: (at) => this.#regions.summary(at),
      resting: () => this.#resting,
      holds: (at) => this.#quarantine.holds.next(at),
    }, now);
    const duties = new CustomerDuties({ self, fleet: this.fleet });
    const link = {
      self,
      random,
      fleet: this.fleet,
      catalogue: this.#catalogue,
      resting: () => this.#resting,
    };
    this.#exchange = createExchange(link, duties);
    this.#limits = createLimits(link, duties);
    this.#serving = new ServingSet({
      self,
      fleet: this.fleet,
      regions: this.#regions,
    });
    this.#quarantine = createQuarantine({
      self,
      emit,
      random,
      catalogue: this.#catalogue,
      fleet: this.fleet,
      serving: this.#serving,
      listened: this.#listened,
      now: () => this.#lastAt,
    });
    const cold = new ColdAllowance(self.bounds, now);
    this.#cold = cold;
    this.#budget = new RepeatBudget(self.bounds);
    this.terms = createEndpointTerms({
      self,
      emit,
      fleet: this.fleet,
      catalogue: this.#catalogue,
    }, now);
    const router = new CallRouter({
      self,
      fleet: this.fleet,
      endpoints: this.#endpoints,
      regions: this.#regions,
      serving: this.#serving,
      cold,
      terms: this.terms,
      random,
    });
    this.#calls = new CallController({
      emit,
      random,
      catalogue: this.#catalogue,
      endpoints: this.#endpoints,
      regions: this.#regions,
      router,
      budget: this.#budget,
      cold,
      quarantine: this.#quarantine,
      terms: this.terms,
      limits: this.#limits,
      keyLifetime: () => this.#keyLifetime(),
      listened: this.#listened,
      entries: () => this.fleet.possible().length + 1,
      regionEntries: () => 1 + this.#endpoints.busyPeers(),
    });
    this.#reporter = new WorkReporter({
      self,
      fleet: this.fleet,
      endpoints: this.#endpoints,
      regions: this.#regions,
      serving: this.#serving,
      picture: () => this.#catalogue.picture,
    });
    this.#stop = new StopController({
      emit,
      calls: this.#calls,
      listened: this.#listened,
      stopTime: self.bounds.stopTime,
    });
  }

  /** Takes one event and returns what is to be done, in order. */
  handle(event: GatewayEvent, now: Instant): GatewayEffect[] {
    this.#noteLoop(now);
    this.#apply(event, now);
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Time until the next tick is due, unless something happens before. */
  get tickPause(): Milliseconds {
    return tickPause({
      active: this.#calls.active > 0 || this.terms.limits.isAsked,
      joining: this.fleet.isJoining(this.#lastAt),
    });
  }

  /** The published picture in force. */
  get catalogue(): CatalogueView {
    return this.#catalogue;
  }

  get endpoints(): EndpointRegistry {
    return this.#endpoints;
  }

  get regions(): RegionController {
    return this.#regions;
  }

  /** Requests that are held back, and endpoints that ended. */
  get quarantine(): QuarantineController {
    return this.#quarantine;
  }

  get calls(): CallController {
    return this.#calls;
  }

  /** Whether callers may use this entry. */
  get ready(): boolean {
    return this.fleet.record.state === "ready";
  }

  get stopping(): boolean {
    return this.fleet.record.state === "stopping";
  }

  /** The picture for a peer that cannot read it. */
  snapshot(): CatalogueSnapshot | undefined {
    return this.#catalogue.snapshot();
  }

  /** The entries that a caller should use. */
  nameEntries(
    question: DirectoryQuestion,
    now: Instant,
  ): DirectoryAnswer | undefined {
    return nameEntries(
      {
        self: this.self,
        fleet: this.fleet,
        catalogue: this.#catalogue,
        regions: this.#regions,
        serving: this.#serving,
      },
      question,
      now,
    );
  }

  #noteLoop(now: Instant): void {
    const gap = this.#listened.note(now);
    this.#lastAt = now;
    if (gap < PAUSE_MS) {
      return;
    }
    this.#effects.push({
      kind: "log",
      part: "stop",
      text: "Woke from a pause.",
      fields: { gapMs: Math.round(gap) },
    });
    this.#catalogue.woke(now);
    this.terms.limits.woke();
  }

  #apply(event: GatewayEvent, now: Instant): void {
    switch (event.kind) {
      case "tick":
        return this.#tick(now);
      case "stop":
        this.fleet.changeState("stopping", now);
        return this.#stop.begin(now);
      case "slept":
        return this.#catalogue.currency.slept(event.time);
      case "rebound":
        this.#bounds = event.bounds;
        this.#budget.rebound(event.bounds);
        this.#cold.rebound(event.bounds);
        return this.#stop.rebound(event.bounds.stopTime);
      case "datagram":
        return this.#receive(event.message, now);
      case "catalogueRead":
        this.#catalogue.read(event.snapshot, now);
        return this.#followCatalogue(now);
      case "catalogueChanged":
        this.#catalogue.changed(event.changes, now);
        return this.#followCatalogue(now);
      case "catalogueConfirmed":
        this.#catalogue.confirmed(event.epoch, now);
        return this.#followCatalogue(now);
      case "catalogueCompacted":
        return this.#catalogue.compacted(event.epoch, now);
      case "catalogueFailed":
        return this.#catalogue.failed(event.detail, now);
      case "catalogueCopied":
        this.#catalogue.copied(event.snapshot, now);
        return this.#followCatalogue(now);
      default:
        return this.#applyCall(event, now);
    }
  }

  #applyCall(event: GatewayEvent, now: Instant): void {
    switch (event.kind) {
      case "arrived":
        this.#noteUse(now);
        return this.#calls.arrive(event.head, now);
      case "commit":
        return this.#calls.commit(event.attempt, now);
      case "answered":
        return this.#calls.answered(event.attempt, event.answer, now);
      case "progress":
        return this.#calls.progress(event.attempt, event, now);
      case "held":
        return this.#calls.held(event.attempt, event.held, now);
      case "ended":
        return this.#calls.ended(event.attempt, event.end, now);
      case "callerGone":
        return this.#calls.callerGone(event.request, now);
      case "portClosed": {
        const { endpoint: id, life } = event;
        return this.#quarantine.refused({ id, life });
      }
      case "release":
        this.#quarantine.release(event.content, now);
    }
  }

  #noteUse(now: Instant): void {
    if (this.#resting) {
      this.#resting = false;
      this.#catalogue.noteUse(now);
    }
  }

  #noteRest(now: Instant): void {
    const { active, lastArrivalAt } = this.#calls;
    const idle = active === 0 &&
      now - (lastArrivalAt ?? -Infinity) >= REST_AFTER_MS;
    this.#resting = idle && this.ready &&
      !this.#serving.has(this.fleet.record, now);
  }

  #tick(now: Instant): void {
    this.#noteRest(now);
    this.#catalogue.tick(now);
    this.#followCatalogue(now);
    this.#endpoints.expire(now);
    this.fleet.tick(now);
    this.#regions.tick(this.fleet, now);
    this.#quarantine.tick(now);
    this.#exchange.tick(now);
    this.#limits.tick(now);
    this.terms.limits.tick(now);
    this.terms.departures.tick(now);
    this.#judgeCurrency(now);
    this.#calls.tick(now);
    this.#reporter.tick(this.#calls.takePrefixNews(), now);
    this.#stop.tick(now);
  }

  #followCatalogue(now: Instant): void {
    this.#endpoints.follow(now);
    this.#calls.releaseHeld(now);
    const starting = this.fleet.record.state === "starting";
    if (starting && this.#catalogue.document !== undefined) {
      this.fleet.changeState("ready", now);
    }
  }

  /** Time that the document may be old, less what clocks and steps of ours may hide. */
  #keyLifetime(): Milliseconds | undefined {
    const lifetime = this.#bounds.keyLifetime;
    return lifetime === undefined
      ? undefined
      : milliseconds(Math.max(0, lifetime - KEY_MARGIN_MS));
  }

  /** Sends callers elsewhere before their keys are in doubt here. */
  #judgeCurrency(now: Instant): void {
    const { state } = this.fleet.record;
    const lifetime = this.#bounds.keyLifetime;
    const { currency, keyed } = this.#catalogue;
    const old = keyed && lifetime !== undefined &&
      !currency.isWithin(milliseconds(lifetime * OUTDATED_PART), now);
    if (state === (old ? "ready" : "outdated")) {
      this.fleet.changeState(old ? "outdated" : "ready", now);
    }
  }

  #receive(
    message: Extract<GatewayEvent, { kind: "datagram" }>["message"],
    now: Instant,
  ): void {
    this.fleet.receive(message, now);
    if (message.kind === "quarantine") {
      this.#quarantine.learn(message.news, message.incarnation, now);
    } else if (message.kind === "ping" || message.kind === "ack") {
      this.#quarantine.learnHolds(message.holds, now);
    } else if (message.kind === "currency") {
      this.#exchange.receive(message.message, now);
      this.#followCatalogue(now);
    } else if (message.kind === "spending") {
      this.#limits.receive(message.message, now);
      this.#calls.noteSpending(now);
    } else if (message.kind === "limits") {
      if (this.terms.limits.receive(message.message, now)) {
        this.#calls.notePermits(now);
      }
    } else if (message.kind === "departures") {
      this.terms.departures.receive(message.message);
    } else if (message.kind === "work") {
      this.#endpoints.learn(message.incarnation, message.report, now);
      if (this.#resting) {
        this.#catalogue.noteOther(message.report.picture, now);
      }
    }
  }
}
