/**
 * The life cycle of requests: admission, placement, sending, answering, retrying and refusal.
 *
 * @module
 */
import type { CustomerLimits } from "../customers/index.ts";
import type { DemandReport } from "../demand/index.ts";
import type { EndpointTerms } from "../endpoint_terms/index.ts";
import type { FairShares } from "../fair_shares/index.ts";
import type { PrefixUpdate } from "../fleet/index.ts";
import {
  after,
  type AttemptId,
  hash32,
  type Instant,
  type Milliseconds,
  milliseconds,
  type Randomness,
  type RequestId,
} from "../ids/index.ts";
import type { StallAdjustedClockView } from "../listening/index.ts";
import {
  type OriginMessage,
  type StreamOrigins,
} from "../stream_origins/index.ts";
import type { RetryBudget, RetryLoans, SlackShare } from "../retries/index.ts";
import {
  createPendingCall,
  type PendingCall,
  PendingCalls,
} from "./pending_calls.ts";
import { Call, type OpenAttempt } from "./call.ts";
import { type AdmittedCall, CallAdmission } from "./call_admission.ts";
import { CallAttempts, isFailure } from "./call_attempts.ts";
import { CallOutcomes } from "./call_outcomes.ts";
import { CallPlacer, MIN_SEND_TIME_MS } from "./call_placer.ts";
import { CallRecovery } from "./call_recovery.ts";
import { CallRetries } from "./call_retries.ts";
import { CallResumptions } from "./call_resumptions.ts";
import { type CallRouter } from "./call_router.ts";
import { measureDemand } from "./call_demand.ts";
import { orderServices } from "./service_order.ts";
import type { CatalogueView } from "./catalogue_view.ts";
import type { ColdAllowance } from "./cold_allowance.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import {
  type CallAnswer,
  type CallEnd,
  type CallHead,
  type GatewayEmit,
  type GatewayEvent,
} from "./messages.ts";
import {
  type DocumentSource,
  NewerDocumentWait,
} from "./newer_document_wait.ts";
import type { PlacementMeter } from "./placement_meter.ts";
import type { QuarantineController } from "../quarantine/index.ts";
import {
  createDisabledAdmission,
  type RegionCallAdmission,
} from "./region_call_admission.ts";
import { promisesNotRun } from "./refusals.ts";
import type { RegionController } from "./region_controller.ts";
import type { SizeOutcome } from "./size_outcomes.ts";
import type { SoftwareHistory } from "./software_history.ts";

/** How long after its deadline a non-idempotent request may run on once its caller has left. */
const ORPHAN_GRACE_MS = 5_000;
const UINT32_RANGE = 2 ** 32;

/** Dependencies of `CallController`. */
export interface CallDependencies {
  readonly emit: GatewayEmit;
  readonly random: Randomness;
  readonly catalogue: CatalogueView;
  /** Ways to obtain a newer document. */
  readonly documents: DocumentSource;
  readonly endpoints: EndpointRegistry;
  readonly regions: RegionController;
  readonly placements: PlacementMeter;
  readonly shares: FairShares;
  readonly router: CallRouter;
  readonly budget: RetryBudget;
  readonly loans: RetryLoans;
  readonly cold: ColdAllowance;
  readonly quarantine: QuarantineController;
  readonly terms: EndpointTerms;
  readonly limits: CustomerLimits;
  readonly origins: StreamOrigins;
  readonly history: SoftwareHistory;
  /** Age of the document from which keys are no longer trusted, `undefined` where there is no such limit. */
  readonly keyLifetime: () => Milliseconds | undefined;
  readonly clock: StallAdjustedClockView;
  /** This entry's share of the fleet's slack for retries. */
  readonly slackShare: (now: Instant) => SlackShare;
  /** Number of live entries in the region, including this one. */
  readonly regionEntries: () => number;
  /** Decisions by the state of the whole region, by default none. */
  readonly regionAdmission?: RegionCallAdmission;
}

/** Owns all requests of this entry and handles the events that concern them. */
export class CallController {
  readonly #deps: CallDependencies;
  /** Retries that were sent and denied. */
  readonly retries: CallRetries;
  readonly #calls = new Map<RequestId, Call>();
  readonly #attempts: CallAttempts;
  readonly #outcomes: CallOutcomes;
  readonly #placer: CallPlacer;
  readonly #recovery: CallRecovery;
  readonly #resumptions: CallResumptions;
  #lastArrivalAt: Instant | undefined;
  #refusesNew = false;
  readonly #pending = new PendingCalls();
  readonly #newerDocument: NewerDocumentWait;
  readonly #admission: CallAdmission;
  readonly #regionAdmission: RegionCallAdmission;

  constructor(deps: CallDependencies) {
    this.#deps = deps;
    this.retries = new CallRetries(deps);
    this.#newerDocument = new NewerDocumentWait(deps.documents);
    this.#attempts = new CallAttempts({
      ...deps,
      retries: this.retries,
      requiredDocument: (now) => this.#newerDocument.requiredVersion(now),
    });
    this.#regionAdmission = deps.regionAdmission ??
      createDisabledAdmission(deps.regions);
    const forget = (call: Call): void => this.#forget(call);
    this.#outcomes = new CallOutcomes({
      emit: deps.emit,
      random: deps.random,
      forget,
      onNotRun: (call, now) => this.#admission.refund(call, now),
      returnTime: (call, reason, now) =>
        this.#regionAdmission.returnTime(call, reason, now),
    });
    this.#admission = new CallAdmission({
      ...deps,
      outcomes: this.#outcomes,
      begin: (admitted, now) => this.#begin(admitted, now),
    });
    const parts = {
      ...deps,
      retries: this.retries,
      attempts: this.#attempts,
      outcomes: this.#outcomes,
      regionAdmission: this.#regionAdmission,
    };
    this.#placer = new CallPlacer(parts);
    this.#resumptions = new CallResumptions({
      origins: deps.origins,
      history: deps.history,
      catalogue: deps.catalogue,
      outcomes: this.#outcomes,
      isServed: (call, origin) => deps.router.isServed(call, origin),
      place: (call, now) => this.#placer.place(call, now),
    });
    this.#recovery = new CallRecovery({
      ...parts,
      placer: this.#placer,
      resumptions: this.#resumptions,
      forget,
    });
  }

  /** Removes and returns the prompt prefixes that were sent to engines since the last call. */
  takeSentPrefixes(): PrefixUpdate[] {
    return this.#attempts.takeSentPrefixes();
  }

  /** Number of requests without a final answer. */
  get active(): number {
    return this.#calls.size + this.#pending.size + this.#newerDocument.size +
      this.#admission.size;
  }

  get queued(): number {
    return this.#placer.queue.size;
  }

  /** Number of streams that were resumed at another endpoint since the start. */
  get resumedStreams(): number {
    return this.#recovery.resumedStreams;
  }

  /** How requests with prompts ended since the start, by route and size. */
  get sizeOutcomes(): SizeOutcome[] {
    return this.#outcomes.sizes.list();
  }

  /** Number of requests without a matching route since the start. */
  get unroutedRequests(): number {
    return this.#outcomes.unrouted.count;
  }

  /** What waits here and was sent to endpoints, for the other entries of the region. */
  measureDemand(now: Instant): DemandReport {
    return measureDemand(this.#calls.values(), this.#deps, now);
  }

  get lastArrivalAt(): Instant | undefined {
    return this.#lastArrivalAt;
  }

  /** Refuses requests from now on: the process will end before they could be answered. */
  refuseNew(): void {
    this.#refusesNew = true;
  }

  /** Handles a request that has arrived with its whole body. */
  arrive(head: CallHead, now: Instant): void {
    if (this.#refusesNew) {
      return this.#outcomes.refuseHead(head, "stopping");
    }
    this.#lastArrivalAt = now;
    if (this.#newerDocument.hold(head, now)) {
      return;
    }
    const { catalogue } = this.#deps;
    const { table, failing } = catalogue;
    if (table !== undefined && !catalogue.isStale(now)) {
      return this.#admission.admit(table, createPendingCall(head, now), now);
    }
    if (failing) {
      return this.#outcomes.refuseHead(head, "no_document");
    }
    this.#pending.add(head, now);
  }

  #begin(
    { head, arrivedAt, route, customer, cost }: AdmittedCall,
    now: Instant,
  ): void {
    const timeLimit = Math.min(head.timeLeft ?? route.timeout, route.timeout);
    const position = hash32(`split ${head.call}`) / UINT32_RANGE;
    const call = new Call(head, {
      route,
      customer,
      services: orderServices(route.targets, position),
      arrivedAt,
      age: this.#regionAdmission.ageOf(route, head),
      endsAt: after(arrivedAt, timeLimit),
      documentVersion: this.#deps.catalogue.document?.version,
    });
    this.#calls.set(head.id, call);
    call.charged = cost;
    this.#recordArrival(call, now);
    this.retries.recordRequest(call, now);
    if (call.isResumption) {
      this.#resumptions.begin(call, now);
    } else {
      this.#placer.place(call, now);
    }
  }

  /** The connection is established: checks that the request is still wanted and its endpoint still eligible. */
  commit(id: AttemptId, now: Instant): void {
    const found = this.#attempts.find(id);
    if (found === undefined) {
      return;
    }
    const { call, attempt } = found;
    const { state } = attempt;
    const timeLeft = call.endsAt - now;
    const wanted = timeLeft >= MIN_SEND_TIME_MS &&
      (state === undefined ||
        this.#deps.router.isStillEligible(call, state, now));
    if (!wanted) {
      this.#attempts.close(call, "unsent", now);
      this.#placer.place(call, now);
      return;
    }
    if (!this.#placer.maySend(call, now)) {
      return;
    }
    if (!this.retries.authorizeSend(call, attempt, now)) {
      this.#attempts.close(call, "unsent", now);
      this.#recovery.endWithoutRetry(call, now);
      return;
    }
    if (!this.#hasPermit(attempt, now)) {
      this.#attempts.close(call, "unsent", now);
      this.#placer.place(call, now);
      return;
    }
    this.#attempts.noteSent(call, attempt, now);
    this.#resumptions.noteSent(call, attempt, now);
    this.#deps.emit({
      kind: "proceed",
      attempt: id,
      timeLeft: milliseconds(timeLeft),
    });
  }

  /** Last check of an endpoint's rate limit. Every request to an endpoint passes through here. */
  #hasPermit({ state, permit }: OpenAttempt, now: Instant): boolean {
    return state === undefined ||
      this.#deps.terms.limits.authorizeSend(state.record, permit, now);
  }

  /** Handles the head of an answer. */
  answered(id: AttemptId, answer: CallAnswer, now: Instant): void {
    const found = this.#attempts.find(id);
    if (found === undefined) {
      return;
    }
    const { call, attempt } = found;
    attempt.heardAt = now;
    call.trace.noteAnswer(answer);
    this.#noteDocumentVersion(attempt, answer, now);
    this.#attempts.noteAnswerHead(call, attempt, { answer, now });
    if (answer.notRun || this.#recovery.isUnsupported(call, answer)) {
      return this.#recovery.rejected(call, answer, now);
    }
    const failed = isFailure(answer);
    attempt.state?.health.recordOutcome(failed ? "failed" : "good", now);
    if (call.phase === "answering") {
      return this.#recovery.resumeStream(call, answer, now);
    }
    if (
      failed && call.mayRetry &&
      this.#recovery.reserveRetry(call, "failed", now)
    ) {
      // The shell reads the failed answer to its end, so that the connection can be reused.
      attempt.failed = true;
      this.#attempts.close(call, "lost", now);
      return this.#placer.place(call, now);
    }
    if (this.#recovery.joinsStreams(call, answer)) {
      return this.#recovery.refuseJoined(call, now);
    }
    if (promisesNotRun(answer.status)) {
      return this.#recovery.failUnproved(call, now);
    }
    this.#resumptions.noteBegun(call, attempt, { answer, now });
    call.phase = "answering";
    call.isEventStream = answer.events;
    attempt.failed = failed;
    this.#deps.emit({
      kind: "forward",
      attempt: id,
      origin: call.origin,
      documentVersion: call.documentVersion,
    });
  }

  /** Handles bytes of an answer's body. */
  progress(
    id: AttemptId,
    update: Omit<
      Extract<GatewayEvent, { kind: "progress" }>,
      "kind" | "attempt"
    >,
    now: Instant,
  ): void {
    const found = this.#attempts.find(id);
    if (found === undefined) {
      return;
    }
    const { call, attempt } = found;
    attempt.heardAt = now;
    if (attempt.state !== undefined) {
      attempt.state.heardAt = now;
    }
    if (call.phase !== "answering") {
      // The shell buffers the whole answer: the caller has received nothing yet.
      return;
    }
    attempt.partialEventBytes = update.unfinished;
    call.trace.noteBytes(now);
    const hasRoom = attempt.state?.noteFirstEvent(id, now) === true;
    if (call.position.advance(update)) {
      attempt.state?.answers.noteEvent(id, now);
    }
    if (hasRoom) {
      this.#placer.drain(now);
    }
  }

  /** Handles the start or end of backpressure: the caller's connection is full, or accepts data again. */
  noteBackpressure(id: AttemptId, held: boolean, now: Instant): void {
    const found = this.#attempts.find(id);
    if (found !== undefined) {
      this.#attempts.noteBackpressure(found.call, found.attempt, { held, now });
    }
  }

  /** Handles the end of an attempt. */
  ended(id: AttemptId, end: CallEnd, now: Instant): void {
    const found = this.#attempts.find(id);
    if (found === undefined) {
      return;
    }
    const { call, attempt } = found;
    if (end.kind === "complete") {
      this.#attempts.close(call, "completed", now);
      this.#outcomes.complete(call, attempt.failed, now);
    } else if (end.kind === "unsent") {
      this.#recovery.failedToSend(call, attempt, { ...end, now });
    } else {
      this.#recovery.lost(call, attempt, { detail: end.detail, now });
    }
    this.#placer.drain(now);
  }

  /** Handles a caller that has closed its connection. */
  callerGone(id: RequestId, now: Instant): void {
    const call = this.#calls.get(id);
    const wasPending = this.#pending.remove(id) ||
      this.#newerDocument.remove(id) || this.#admission.remove(id);
    if (wasPending || call === undefined) {
      return;
    }
    const { attempt } = call;
    // A peer learns of it by the closed connection: it removes a request that still waits there, and lets one run on.
    const mayRunHere = attempt?.sentAt !== undefined &&
      attempt.target.kind === "endpoint";
    if (call.route.kind === "non_idempotent" && mayRunHere) {
      call.orphaned = true;
      return;
    }
    this.#attempts.abandon(call, now);
    this.#outcomes.callerLeft(call, now);
    this.#placer.drain(now);
  }

  /** Ends requests that have run out of time, and abandons endpoints that have gone silent. */
  tick(now: Instant): void {
    this.retryPending(now);
    this.#resumptions.handleUnknown(this.#deps.origins.tick(now), now);
    this.#regionAdmission.tick(now);
    this.retries.tick(now);
    this.#placer.refuseHopeless(now);
    for (const call of [...this.#calls.values()]) {
      if (call.orphaned) {
        this.#endOrphan(call, now);
      } else if (now >= call.endsAt) {
        this.#expire(call, now);
      } else if (this.#placer.waitedTooLong(call, now)) {
        this.#outcomes.fail(call, "overloaded", now);
      } else if (call.attempt !== undefined) {
        this.#recovery.checkEndpoint(call, call.attempt, now);
      }
    }
    this.#placer.drain(now);
    this.#outcomes.logSizes(now);
  }

  /** Continues with waiting requests once the catalogue is available, its read has failed or their time is up. */
  retryPending(now: Instant): void {
    this.#resumptions.retryUnconfirmed(now);
    this.#admission.retryPending(now);
    this.#retryNewerDocument(now);
    if (this.#pending.size === 0) {
      return;
    }
    const { catalogue } = this.#deps;
    const { table, failing } = catalogue;
    const ready = table !== undefined && !catalogue.isStale(now);
    const decided = ready || failing
      ? this.#pending.takeAll()
      : this.#pending.takeExpired(now);
    // An outdated catalogue that nobody renews is better than none.
    decided.forEach((pending) =>
      table === undefined
        ? this.#outcomes.refuseHead(pending.head, "no_document")
        : this.#admission.admit(table, pending, now)
    );
  }

  /** A peer that handled a request by a newer document has shown it to the caller. */
  #noteDocumentVersion(
    { target }: OpenAttempt,
    { documentVersion }: CallAnswer,
    now: Instant,
  ): void {
    if (target.kind === "peer" && documentVersion !== undefined) {
      const { incarnation } = target;
      this.#newerDocument.noteVersion(documentVersion, incarnation, now);
    }
  }

  #retryNewerDocument(now: Instant): void {
    const { ready, expired } = this.#newerDocument.take(now);
    const { table } = this.#deps.catalogue;
    const admit = (pending: PendingCall): void =>
      table === undefined
        ? this.#outcomes.refuseHead(pending.head, "no_document")
        : this.#admission.admit(table, pending, now);
    ready.forEach(admit);
    for (const pending of expired) {
      // The first entry has other peers to choose from.
      if (pending.head.relay === undefined) {
        admit(pending);
      } else {
        this.#outcomes.refuseHead(pending.head, "outdated_document");
      }
    }
  }

  /** Handles a message about what began streams. */
  receiveOrigins(message: OriginMessage, now: Instant): void {
    const found = this.#deps.origins.receive(message, now);
    this.#resumptions.handleFound(found, now);
  }

  /** Handles new permits for endpoints with a rate limit. */
  handleNewPermits(now: Instant): void {
    this.#placer.drain(now);
  }

  /** Handles a report of what other entries charged to customers. */
  handleCustomerUsage(now: Instant): void {
    this.#admission.retryPending(now);
  }

  /** Ends all requests before the process exits, so that each caller still learns the outcome. */
  endAll(now: Instant): void {
    this.refuseNew();
    const pending = [
      ...this.#pending.takeAll(),
      ...this.#newerDocument.takeAll(),
      ...this.#admission.takeAll(),
    ];
    pending.forEach(({ head }) => this.#outcomes.refuseHead(head, "stopping"));
    for (const call of [...this.#calls.values()]) {
      this.#attempts.abandon(call, now);
      if (call.orphaned) {
        this.#forget(call);
      } else {
        this.#outcomes.fail(call, "stopping", now);
      }
    }
  }

  #recordArrival({ head, services, route }: Call, now: Instant): void {
    const [service] = services;
    const { regions } = this.#deps;
    regions.recordArrival(service!, head.prompt, now);
    if (head.relay === undefined) {
      regions.traffic.add(route.name, now);
    }
  }

  #expire(call: Call, now: Instant): void {
    if (call.attempt !== undefined) {
      this.#deps.emit({ kind: "abort", attempt: call.attempt.id });
      this.#attempts.close(
        call,
        call.attempt.sentAt === undefined ? "unsent" : "lost",
        now,
      );
    }
    if (call.phase === "answering") {
      const cause = call.trace.cause(call, false, now) ?? "starved";
      return this.#outcomes.breakOff(call, cause, now);
    }
    this.#outcomes.fail(call, "deadline", now);
  }

  #endOrphan(call: Call, now: Instant): void {
    if (now - call.endsAt >= ORPHAN_GRACE_MS) {
      this.#abandon(call, now);
    }
  }

  #abandon(call: Call, now: Instant): void {
    this.#attempts.abandon(call, now);
    this.#forget(call);
  }

  #forget(call: Call): void {
    this.#placer.queue.remove(call);
    this.#resumptions.remove(call);
    this.retries.remove(call);
    this.#calls.delete(call.head.id);
  }
}
