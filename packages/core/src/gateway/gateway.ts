/**
 * All routing decisions of one gateway instance, for requests of callers that name routes: events in, effects
 * out. Uses no sockets, no clock and no unseeded randomness.
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
  createCustomerLimits,
  createFreshnessExchange,
  CustomerRoles,
} from "./customer_link.ts";
import { ColdAllowance } from "./cold_allowance.ts";
import type { FreshnessExchange } from "./currency_exchange.ts";
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
import { tickInterval } from "./tick_pause.ts";
import { StopController } from "./stop_controller.ts";
import { WorkReporter } from "./work_reporter.ts";

/** Interval between pings of peers. */
const PING_INTERVAL_MS = 500;
/** The event loop ticks far more often: a longer gap means that the process was paused. */
const MIN_PAUSE_MS = 1_000;
/**
 * An instance that callers are no longer directed to goes on standby after this long without a request.
 * Callers cache lists of instances for a second, some of them for three.
 */
const STANDBY_AFTER_MS = 4_000;

/**
 * Keys are rejected this much before the end of their lifetime, because the time since a request was sent is
 * unknown.
 */
const KEY_MARGIN_MS = 250;
/**
 * Share of the key lifetime after which a document is old enough that callers are better directed to other
 * instances.
 */
const OUTDATED_SHARE = 0.6;

/** Makes the decisions of one gateway instance. */
export class Gateway {
  readonly self: GatewaySelf;
  readonly fleet: FleetController;
  readonly #catalogue: CatalogueController;
  readonly #endpoints: EndpointRegistry;
  readonly #regions: RegionController;
  readonly #calls: CallController;
  readonly #workReporter: WorkReporter;
  readonly #stopController: StopController;
  readonly #repeatBudget: RepeatBudget;
  readonly #coldAllowance: ColdAllowance;
  readonly #serving: ServingSet;
  readonly #quarantine: QuarantineController;
  readonly #listenedTime: ListenedTime;
  readonly #freshnessExchange: FreshnessExchange;
  readonly #customerLimits: CustomerLimits;
  readonly terms: EndpointTerms;
  #bounds: GatewayBounds;
  #effects: GatewayEffect[] = [];
  #lastEventAt: Instant;
  /** Whether the instance is on standby: callers are not directed to it, and no request is in progress. */
  #isStandby = false;

  constructor(
    { self, random }: { self: GatewaySelf; random: Randomness },
    now: Instant,
  ) {
    this.self = self;
    this.#bounds = self.bounds;
    this.#lastEventAt = now;
    this.#listenedTime = new ListenedTime(now);
    const emit = (effect: GatewayEffect): void => {
      this.#effects.push(effect);
    };
    this.#catalogue = new CatalogueController({
      emit,
      random,
      now,
      newestHolder: () => this.fleet.newestHolder(),
      newestDocument: () => this.fleet.newestDocument(),
      isStandby: () => this.#isStandby,
      freshnessRole: (at) =>
        !this.#catalogue.requiresKeys
          ? "no"
          : roles.isReader(at)
          ? "reads"
          : "asks",
    });
    this.#endpoints = new EndpointRegistry({
      region: self.region,
      regionByZone: self.regionByZone,
      catalogue: this.#catalogue,
      listened: this.#listenedTime,
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
      period: PING_INTERVAL_MS,
      random,
      listened: this.#listenedTime,
      send: (to, message) => emit({ kind: "datagram", to, message }),
      holdings: () => ({
        document: this.#catalogue.document?.version ?? 0 as never,
        catalogue: this.#catalogue.position,
      }),
      summary: (at) => this.#regions.summary(at),
      resting: () => this.#isStandby,
      holds: (at) => this.#quarantine.holds.next(at),
    }, now);
    const roles = new CustomerRoles({ self, fleet: this.fleet });
    const customerLink = {
      self,
      random,
      fleet: this.fleet,
      catalogue: this.#catalogue,
      isStandby: () => this.#isStandby,
    };
    this.#freshnessExchange = createFreshnessExchange(customerLink, roles);
    this.#customerLimits = createCustomerLimits(customerLink, roles);
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
      listened: this.#listenedTime,
      now: () => this.#lastEventAt,
    });
    const coldAllowance = new ColdAllowance(self.bounds, now);
    this.#coldAllowance = coldAllowance;
    this.#repeatBudget = new RepeatBudget(self.bounds);
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
      cold: coldAllowance,
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
      budget: this.#repeatBudget,
      cold: coldAllowance,
      quarantine: this.#quarantine,
      terms: this.terms,
      limits: this.#customerLimits,
      keyLifetime: () => this.#keyLifetime(),
      listened: this.#listenedTime,
      entries: () => this.fleet.possible().length + 1,
      regionEntries: () => 1 + this.#endpoints.busyPeers(),
    });
    this.#workReporter = new WorkReporter({
      self,
      fleet: this.fleet,
      endpoints: this.#endpoints,
      regions: this.#regions,
      serving: this.#serving,
      picture: () => this.#catalogue.picture,
    });
    this.#stopController = new StopController({
      emit,
      calls: this.#calls,
      listened: this.#listenedTime,
      stopTime: self.bounds.stopTime,
    });
  }

  /** Handles one event and returns the resulting effects, in order. */
  handle(event: GatewayEvent, now: Instant): GatewayEffect[] {
    this.#detectPause(now);
    this.#apply(event, now);
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  /** Time until the next tick is due if no event occurs before. */
  get tickPause(): Milliseconds {
    return tickInterval({
      active: this.#calls.active > 0 || this.terms.limits.isAsked,
      joining: this.fleet.isJoining(this.#lastEventAt),
    });
  }

  /** The local catalogue. */
  get catalogue(): CatalogueView {
    return this.#catalogue;
  }

  get endpoints(): EndpointRegistry {
    return this.#endpoints;
  }

  get regions(): RegionController {
    return this.#regions;
  }

  /** Requests that are quarantined, and endpoints that crashed. */
  get quarantine(): QuarantineController {
    return this.#quarantine;
  }

  get calls(): CallController {
    return this.#calls;
  }

  /** Whether callers may use this instance. */
  get ready(): boolean {
    return this.fleet.record.state === "ready";
  }

  get stopping(): boolean {
    return this.fleet.record.state === "stopping";
  }

  /** The catalogue for a peer that cannot read it from the platform. */
  snapshot(): CatalogueSnapshot | undefined {
    return this.#catalogue.snapshot();
  }

  /** The instances that a caller should use. */
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

  #detectPause(now: Instant): void {
    const gap = this.#listenedTime.note(now);
    this.#lastEventAt = now;
    if (gap < MIN_PAUSE_MS) {
      return;
    }
    this.#effects.push({
      kind: "log",
      part: "stop",
      text: "Woke from a pause.",
      fields: { gapMs: Math.round(gap) },
    });
    this.#catalogue.handleWakeUp(now);
    this.terms.limits.woke();
  }

  #apply(event: GatewayEvent, now: Instant): void {
    switch (event.kind) {
      case "tick":
        return this.#tick(now);
      case "stop":
        this.fleet.changeState("stopping", now);
        return this.#stopController.begin(now);
      case "slept":
        return this.#catalogue.currency.slept(event.time);
      case "rebound":
        this.#bounds = event.bounds;
        this.#repeatBudget.rebound(event.bounds);
        this.#coldAllowance.rebound(event.bounds);
        return this.#stopController.setStopTime(event.bounds.stopTime);
      case "datagram":
        return this.#receive(event.message, now);
      case "catalogueRead":
        this.#catalogue.applySnapshot(event.snapshot, now);
        return this.#applyCatalogue(now);
      case "catalogueChanged":
        this.#catalogue.applyChanges(event.changes, now);
        return this.#applyCatalogue(now);
      case "catalogueConfirmed":
        this.#catalogue.applyConfirmation(event.epoch, now);
        return this.#applyCatalogue(now);
      case "catalogueCompacted":
        return this.#catalogue.handleCompaction(event.epoch, now);
      case "catalogueFailed":
        return this.#catalogue.handleFailure(event.detail, now);
      case "catalogueCopied":
        this.#catalogue.applyPeerCopy(event.snapshot, now);
        return this.#applyCatalogue(now);
      default:
        return this.#applyCall(event, now);
    }
  }

  #applyCall(event: GatewayEvent, now: Instant): void {
    switch (event.kind) {
      case "arrived":
        this.#leaveStandby(now);
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

  #leaveStandby(now: Instant): void {
    if (this.#isStandby) {
      this.#isStandby = false;
      this.#catalogue.leaveStandby(now);
    }
  }

  #updateStandby(now: Instant): void {
    const { active, lastArrivalAt } = this.#calls;
    const isIdle = active === 0 &&
      now - (lastArrivalAt ?? -Infinity) >= STANDBY_AFTER_MS;
    this.#isStandby = isIdle && this.ready &&
      !this.#serving.has(this.fleet.record, now);
  }

  #tick(now: Instant): void {
    this.#updateStandby(now);
    this.#catalogue.tick(now);
    this.#applyCatalogue(now);
    this.#endpoints.expire(now);
    this.fleet.tick(now);
    this.#regions.tick(this.fleet, now);
    this.#quarantine.tick(now);
    this.#freshnessExchange.tick(now);
    this.#customerLimits.tick(now);
    this.terms.limits.tick(now);
    this.terms.departures.tick(now);
    this.#updateOutdatedState(now);
    this.#calls.tick(now);
    this.#workReporter.tick(this.#calls.takePrefixNews(), now);
    this.#stopController.tick(now);
  }

  #applyCatalogue(now: Instant): void {
    this.#endpoints.follow(now);
    this.#calls.releaseHeld(now);
    const isStarting = this.fleet.record.state === "starting";
    if (isStarting && this.#catalogue.document !== undefined) {
      this.fleet.changeState("ready", now);
    }
  }

  /**
   * How old the document may be, reduced by a margin for clock differences and for delays within the process.
   */
  #keyLifetime(): Milliseconds | undefined {
    const lifetime = this.#bounds.keyLifetime;
    return lifetime === undefined
      ? undefined
      : milliseconds(Math.max(0, lifetime - KEY_MARGIN_MS));
  }

  /** Directs callers to other instances before their keys can no longer be verified here. */
  #updateOutdatedState(now: Instant): void {
    const { state } = this.fleet.record;
    const lifetime = this.#bounds.keyLifetime;
    const { currency, requiresKeys } = this.#catalogue;
    const isOutdated = requiresKeys && lifetime !== undefined &&
      !currency.isWithin(milliseconds(lifetime * OUTDATED_SHARE), now);
    if (state === (isOutdated ? "ready" : "outdated")) {
      this.fleet.changeState(isOutdated ? "outdated" : "ready", now);
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
      this.#freshnessExchange.receive(message.message, now);
      this.#applyCatalogue(now);
    } else if (message.kind === "spending") {
      this.#customerLimits.receive(message.message, now);
      this.#calls.noteSpending(now);
    } else if (message.kind === "limits") {
      if (this.terms.limits.receive(message.message, now)) {
        this.#calls.notePermits(now);
      }
    } else if (message.kind === "departures") {
      this.terms.departures.receive(message.message);
    } else if (message.kind === "work") {
      this.#endpoints.learn(message.incarnation, message.report, now);
      if (this.#isStandby) {
        this.#catalogue.notePeerCatalogue(message.report.picture, now);
      }
    }
  }
}
