/**
 * Makes all routing decisions of one entry for requests that name a route. Takes events and returns effects. Uses
 * no sockets, no system clock and no unseeded randomness.
 *
 * @module
 */
import type { CustomerLimits } from "../customers/index.ts";
import { type DemandReporter, RegionDemand } from "../demand/index.ts";
import type { EndpointTerms } from "../endpoint_terms/index.ts";
import { FairShares } from "../fair_shares/index.ts";
import { Features } from "../features/index.ts";
import { FleetController } from "../fleet/index.ts";
import {
  type Incarnation,
  type Instant,
  type Milliseconds,
  milliseconds,
  type Randomness,
} from "../ids/index.ts";
import { StallAdjustedClock } from "../listening/index.ts";
import { RegionOutlooks } from "../outlook/index.ts";
import type { RegionAdmission } from "../overload/index.ts";
import type { CatalogueSnapshot } from "../routes/index.ts";
import type { StreamOrigins } from "../stream_origins/index.ts";
import { CallController } from "./call_controller.ts";
import { CallRouter } from "./call_router.ts";
import { CatalogueController } from "./catalogue_controller.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import {
  createCustomerLimits,
  createFreshnessExchange,
  CustomerRoles,
} from "./customer_roles.ts";
import { ColdAllowance } from "./cold_allowance.ts";
import type { ColdChecks } from "./cold_checks.ts";
import { createColdChecks } from "./create_cold_checks.ts";
import type { FreshnessExchange } from "./freshness_exchange.ts";
import {
  createEarlyRelay,
  type EarlyRelayParts,
} from "./create_early_relay.ts";
import { createDemandReporter } from "./create_demand_reporter.ts";
import { createEndpointTerms } from "./endpoint_terms_factory.ts";
import { EndpointRegistry } from "./endpoint_registry.ts";
import {
  chooseEntries,
  type DirectoryAnswer,
  type DirectoryRequest,
} from "./entry_directory.ts";
import type {
  GatewayBounds,
  GatewayEffect,
  GatewayEvent,
  GatewayIdentity,
} from "./messages.ts";
import { PlacementMeter } from "./placement_meter.ts";
import { RegionCallAdmission } from "./region_call_admission.ts";
import { RegionController } from "./region_controller.ts";
import type { QuarantineController } from "../quarantine/index.ts";
import { createStreamOrigins } from "./create_stream_origins.ts";
import { createQuarantine } from "./create_quarantine.ts";
import {
  createRetryBudget,
  type RetryBudgetParts,
} from "./create_retry_budget.ts";
import { ServingSet } from "./serving_set.ts";
import { tickInterval } from "./tick_interval.ts";
import { ShareLog } from "./share_log.ts";
import { SoftwareHistory } from "./software_history.ts";
import { StopController } from "./stop_controller.ts";
import { WorkReporter } from "./work_reporter.ts";

/** Interval between pings of peers. */
const PING_INTERVAL_MS = 500;
/** The event loop ticks far more often: a longer gap means that the process was paused. */
const MIN_PAUSE_MS = 1_000;
/**
 * An entry that callers are no longer directed to goes on standby after this long without a request.
 * Callers cache lists of entries for a second, some of them for three.
 */
const STANDBY_AFTER_MS = 4_000;

/**
 * Keys are rejected this much before the end of their lifetime, because the time since a request was sent is
 * unknown.
 */
const KEY_MARGIN_MS = 250;
/**
 * Share of the key lifetime after which a document is old enough that callers are better directed to other
 * entries.
 */
const OUTDATED_SHARE = 0.6;

/** Makes the decisions of one entry. */
export class Gateway {
  readonly self: GatewayIdentity;
  readonly fleet: FleetController;
  readonly #catalogue: CatalogueController;
  readonly #endpoints: EndpointRegistry;
  readonly #regions: RegionController;
  readonly #calls: CallController;
  readonly #workReporter: WorkReporter;
  readonly #stopController: StopController;
  /** The budget for retries, and loans from other entries. */
  readonly retries: RetryBudgetParts;
  readonly #coldAllowance: ColdAllowance;
  /** Health checks while the platform does not tell which endpoints are cold. */
  readonly coldChecks: ColdChecks;
  readonly #serving: ServingSet;
  readonly #quarantine: QuarantineController;
  readonly #clock: StallAdjustedClock;
  readonly #freshnessExchange: FreshnessExchange;
  readonly #customerLimits: CustomerLimits;
  readonly endpointTerms: EndpointTerms;
  /** Which software versions began streams. */
  readonly streamOrigins: StreamOrigins;
  /** Optional decisions in use. */
  readonly features: Features;
  /** What waits at the entries of the region, and what they sent to endpoints. */
  readonly demand: RegionDemand;
  /** Customers' shares of the region's endpoints. */
  readonly shares: FairShares;
  /** Outlooks of other regions. */
  readonly outlooks: RegionOutlooks;
  /** Relays to regions that begin a request sooner. */
  readonly earlyRelay: EarlyRelayParts;
  readonly #demandReporter: DemandReporter;
  readonly #regionAdmission: RegionCallAdmission;
  readonly #shareLog: ShareLog;
  readonly #softwareHistory: SoftwareHistory;
  #bounds: GatewayBounds;
  #effects: GatewayEffect[] = [];
  #lastEventAt: Instant;
  /** Whether the entry is on standby: callers are not directed to it, and no request is in progress. */
  #isStandby = false;

  constructor(
    { self, random }: { self: GatewayIdentity; random: Randomness },
    now: Instant,
  ) {
    this.self = self;
    this.#bounds = self.bounds;
    this.#lastEventAt = now;
    this.#clock = new StallAdjustedClock(now);
    const emit = (effect: GatewayEffect): void => {
      this.#effects.push(effect);
    };
    this.#catalogue = new CatalogueController({
      emit,
      random,
      now,
      newestHolder: () => this.fleet.newestCatalogueHolder(),
      newestDocument: () => this.fleet.newestDocumentHolder(),
      isStandby: () => this.#isStandby,
      freshnessRole: (at) =>
        !this.#catalogue.requiresKeys
          ? "no"
          : roles.isReader(at)
          ? "reads"
          : "asks",
    });
    this.#softwareHistory = new SoftwareHistory(this.#catalogue, self, now);
    this.#endpoints = new EndpointRegistry({
      region: self.region,
      regionByZone: self.regionByZone,
      catalogue: this.#catalogue,
      clock: this.#clock,
      isLeaving: (record) => this.endpointTerms.departures.has(record),
      backoffOf: (record, at) =>
        this.endpointTerms.backoffs.waitFor(record, at),
    });
    this.#regions = new RegionController({
      region: self.region,
      catalogue: this.#catalogue,
      endpoints: this.#endpoints,
      limitOf: (record) => this.endpointTerms.limits.limitOf(record),
      now,
    });
    this.features = new Features(self.features, () => ({
      reportsContention: this.#endpoints.reportsContention,
      hasCustomerLimits: this.#catalogue.table?.customers.hasLimits ?? false,
    }));
    this.demand = new RegionDemand(this.#clock);
    const placements = new PlacementMeter();
    this.shares = new FairShares({
      demand: this.demand,
      isOn: () => this.features.isOn("fairShares"),
      limitOf: (id) => this.#catalogue.table?.customers.get(id)?.limit,
      placedHere: (at) => placements.lastSecond(at),
    });
    this.#shareLog = new ShareLog({ shares: this.shares, emit });
    this.outlooks = new RegionOutlooks(self.region);
    this.fleet = new FleetController({
      self,
      seeds: self.seeds,
      pingPeriodMs: PING_INTERVAL_MS,
      random,
      clock: this.#clock,
      send: (to, message) => emit({ kind: "datagram", to, message }),
      holdings: () => ({
        document: this.#catalogue.document?.version ?? 0 as never,
        catalogue: this.#catalogue.position,
      }),
      summary: (at) => this.#regions.summary(at),
      isStandby: () => this.#isStandby,
      nextHolds: (at) => this.#quarantine.holds.nextNotices(at),
    }, now);
    const roles = new CustomerRoles({ self, fleet: this.fleet });
    const customerDependencies = {
      self,
      random,
      fleet: this.fleet,
      catalogue: this.#catalogue,
      isStandby: () => this.#isStandby,
    };
    this.#freshnessExchange = createFreshnessExchange(
      customerDependencies,
      roles,
    );
    this.#customerLimits = createCustomerLimits(customerDependencies, roles);
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
      endpoints: this.#endpoints,
      fleet: this.fleet,
      serving: this.#serving,
      clock: this.#clock,
      now: () => this.#lastEventAt,
    });
    const coldAllowance = new ColdAllowance(self.bounds, now);
    this.#coldAllowance = coldAllowance;
    this.coldChecks = createColdChecks({
      self,
      emit,
      fleet: this.fleet,
      catalogue: this.#catalogue,
      endpoints: this.#endpoints,
    }, now);
    this.retries = createRetryBudget({ self, fleet: this.fleet, random }, now);
    this.endpointTerms = createEndpointTerms({
      self,
      emit,
      fleet: this.fleet,
      catalogue: this.#catalogue,
    }, now);
    this.streamOrigins = createStreamOrigins({
      self,
      fleet: this.fleet,
      random,
    }, now);
    this.earlyRelay = createEarlyRelay({
      self,
      emit,
      catalogue: this.#catalogue,
      endpoints: this.#endpoints,
      demand: this.demand,
      features: this.features,
      fleet: this.fleet,
      serving: this.#serving,
      outlooks: this.outlooks,
    });
    const router = new CallRouter({
      self,
      fleet: this.fleet,
      endpoints: this.#endpoints,
      regions: this.#regions,
      serving: this.#serving,
      cold: coldAllowance,
      terms: this.endpointTerms,
      earlyRelay: this.earlyRelay.relay,
      random,
    });
    const regionEntries = (): number => 1 + this.#endpoints.busyPeerCount();
    this.#regionAdmission = new RegionCallAdmission({
      isOn: () => this.features.isOn("regionAdmission"),
      demand: this.demand,
      regionEntries,
      regions: this.#regions,
      emit,
      assumedRate: (service, at) => this.#endpoints.assumedRate(service, at),
      partAhead: ({ services, rank, customer }, at) =>
        this.shares.partAheadOf(
          { service: services[0]!, rank, late: false },
          customer?.id,
          at,
        ),
    });
    this.#calls = new CallController({
      emit,
      random,
      catalogue: this.#catalogue,
      documents: {
        version: () => this.#catalogue.document?.version,
        read: (at) => this.#catalogue.readAtOnce(at),
        copyFrom: (peer, at) => this.#copyCatalogueFrom(peer, at),
      },
      endpoints: this.#endpoints,
      regions: this.#regions,
      placements,
      shares: this.shares,
      router,
      ...this.retries,
      cold: coldAllowance,
      quarantine: this.#quarantine,
      terms: this.endpointTerms,
      limits: this.#customerLimits,
      origins: this.streamOrigins,
      history: this.#softwareHistory,
      keyLifetime: () => this.#keyLifetime(),
      clock: this.#clock,
      regionEntries,
      regionAdmission: this.#regionAdmission,
    });
    this.#workReporter = new WorkReporter({
      self,
      fleet: this.fleet,
      endpoints: this.#endpoints,
      regions: this.#regions,
      serving: this.#serving,
      catalogueHash: () => this.#catalogue.contentHash,
    });
    this.#demandReporter = createDemandReporter({
      demand: this.demand,
      endpoints: this.#endpoints,
      features: this.features,
      fleet: this.fleet,
      serving: this.#serving,
      measure: (at) => this.#calls.measureDemand(at),
    });
    this.#stopController = new StopController({
      emit,
      calls: this.#calls,
      clock: this.#clock,
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
  get tickInterval(): Milliseconds {
    return tickInterval({
      active: this.#calls.active > 0 ||
        this.endpointTerms.limits.hasPermitRequests,
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

  /** Decisions about requests by the state of the whole region. */
  get regionAdmission(): RegionAdmission {
    return this.#regionAdmission.region;
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

  /** Returns the catalogue for a peer that cannot read it from the platform, `undefined` if there is none. */
  snapshot(): CatalogueSnapshot | undefined {
    return this.#catalogue.snapshot();
  }

  /** Returns the entries that a caller should use. */
  nameEntries(
    question: DirectoryRequest,
    now: Instant,
  ): DirectoryAnswer | undefined {
    return chooseEntries(
      {
        self: this.self,
        fleet: this.fleet,
        catalogue: this.#catalogue,
        regions: this.#regions,
        serving: this.#serving,
        bounds: this.#bounds,
      },
      question,
      now,
    );
  }

  #detectPause(now: Instant): void {
    const gap = this.#clock.recordTurn(now);
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
    this.endpointTerms.limits.onResume();
  }

  #apply(event: GatewayEvent, now: Instant): void {
    switch (event.kind) {
      case "tick":
        return this.#tick(now);
      case "stop":
        this.fleet.changeState("stopping", now);
        return this.#stopController.begin(now);
      case "slept":
        this.#catalogue.documentFreshness.addSuspendedTime(event.time);
        return this.#softwareHistory.addSuspendedTime(event.time);
      case "rebound":
        this.#bounds = event.bounds;
        this.retries.budget.updateBounds(event.bounds, now);
        this.#coldAllowance.updateBounds(event.bounds);
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
      case "catalogueNewest":
        this.#catalogue.handleNewest(event.newest, now);
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
        return this.#calls.noteBackpressure(event.attempt, event.held, now);
      case "ended":
        return this.#calls.ended(event.attempt, event.end, now);
      case "callerGone":
        return this.#calls.callerGone(event.request, now);
      case "healthChecked":
        return this.coldChecks.receiveAnswer(event, now);
      case "portClosed": {
        const { endpoint: id, life } = event;
        return this.#quarantine.notePortClosed({ id, life });
      }
      case "release":
        this.#quarantine.release(event.subject, now);
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
    this.coldChecks.tick(now);
    this.#updatePaceUse();
    this.fleet.tick(now);
    this.#regions.tick(this.fleet, now);
    this.#quarantine.tick(now);
    this.#freshnessExchange.tick(now);
    this.#customerLimits.tick(now);
    this.endpointTerms.limits.tick(now);
    this.endpointTerms.departures.tick(now);
    this.#updateOutdatedState(now);
    this.#calls.tick(now);
    this.#demandReporter.tick(now);
    this.earlyRelay.exchange.tick(now);
    this.#shareLog.tick(now);
    this.#workReporter.tick(this.#calls.takeSentPrefixes(), now);
    this.#stopController.tick(now);
  }

  #updatePaceUse(): void {
    const isOn = this.features.isOn("endpointPace");
    if (this.#endpoints.usePace(isOn)) {
      this.#effects.push({
        kind: "log",
        part: "endpoint",
        text: isOn
          ? "Endpoints are chosen by their pace."
          : "Endpoints are chosen by their usual rates.",
        fields: {},
      });
    }
  }

  #applyCatalogue(now: Instant): void {
    this.#endpoints.syncWithCatalogue(now);
    this.#softwareHistory.update(now);
    this.#calls.retryPending(now);
    const isStarting = this.fleet.record.state === "starting";
    if (isStarting && this.#catalogue.document !== undefined) {
      this.fleet.changeState("ready", now);
    }
  }

  #copyCatalogueFrom(peer: Incarnation, now: Instant): void {
    const member = this.fleet.possiblyLiveMembers().find(({ record }) =>
      record.incarnation === peer
    );
    if (member !== undefined) {
      this.#catalogue.copyFrom(member.record.peerAddress, now);
    }
  }

  /**
   * Returns how old the document may be for its keys to be trusted. Reduced by a margin for clock differences and
   * for delays within the process.
   */
  #keyLifetime(): Milliseconds | undefined {
    const lifetime = this.#bounds.keyLifetime;
    return lifetime === undefined
      ? undefined
      : milliseconds(Math.max(0, lifetime - KEY_MARGIN_MS));
  }

  /** Directs callers to other entries before their keys can no longer be verified here. */
  #updateOutdatedState(now: Instant): void {
    const { state } = this.fleet.record;
    const lifetime = this.#bounds.keyLifetime;
    const { documentFreshness, requiresKeys } = this.#catalogue;
    const isOutdated = requiresKeys && lifetime !== undefined &&
      !documentFreshness.isWithin(milliseconds(lifetime * OUTDATED_SHARE), now);
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
      this.#quarantine.apply(message.news, message.incarnation, now);
    } else if (message.kind === "ping" || message.kind === "ack") {
      this.#quarantine.applyHolds(message.holds, now);
    } else if (message.kind === "currency") {
      this.#freshnessExchange.receive(message.message, now);
      this.#applyCatalogue(now);
    } else if (message.kind === "spending") {
      this.#customerLimits.receive(message.message, now);
      this.#calls.handleCustomerUsage(now);
    } else if (message.kind === "limits") {
      if (this.endpointTerms.limits.receive(message.message, now)) {
        this.#calls.handleNewPermits(now);
      }
    } else if (message.kind === "departures") {
      this.endpointTerms.departures.receive(message.message);
    } else if (message.kind === "cold") {
      this.coldChecks.receive(message.reports, now);
    } else if (message.kind === "demand") {
      this.demand.receive(message.incarnation, message.report, now);
      this.#endpoints.receivePaces(message.report.paces, now);
    } else if (message.kind === "origins") {
      this.#calls.receiveOrigins(message.message, now);
    } else if (message.kind === "retries") {
      this.#calls.retries.receiveLoan(message.message, now);
    } else if (message.kind === "outlook") {
      this.earlyRelay.exchange.receive(message.outlook, now);
    } else if (message.kind === "pressures") {
      this.#endpoints.receivePressures(
        message.incarnation,
        message.pressures,
        now,
      );
    } else if (message.kind === "work") {
      this.#endpoints.receiveReport(message.incarnation, message.report, now);
      if (this.#isStandby) {
        this.#catalogue.notePeerCatalogue(message.report.picture, now);
      }
    }
  }
}
