/**
 * Attempts in progress: sends requests, and accounts for what they use at endpoints.
 *
 * @module
 */
import type { EndpointTerms } from "../endpoint_terms/index.ts";
import type { FairShares } from "../fair_shares/index.ts";
import type { PrefixUpdate } from "../fleet/index.ts";
import {
  type AttemptId,
  type Instant,
  milliseconds,
  type Revision,
} from "../ids/index.ts";
import type { Call, OpenAttempt } from "./call.ts";
import type { CallRetries } from "./call_retries.ts";
import type { CallRouter, RoutingDecision } from "./call_router.ts";
import type { ChosenEndpoint } from "./local_placement.ts";
import type { ColdAllowance } from "./cold_allowance.ts";
import type { EndpointState } from "./endpoint_state.ts";
import type { CallAnswer, CallTarget, GatewayEmit } from "./messages.ts";
import { maxIdleMs } from "./idle_limit.ts";
import { sharedParts } from "./endpoint_placement.ts";
import type {
  AttemptOutcome,
  QuarantineController,
} from "../quarantine/index.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { PlacementMeter } from "./placement_meter.ts";
import { promisesNotRun } from "./refusals.ts";
import type { RegionController } from "./region_controller.ts";

/** HTTP status of an address at which another process than the intended endpoint answers. */
export const MISDIRECTED_REQUEST = 421;

const FIRST_SUCCESS = 200;
const FIRST_REDIRECTION = 300;
const FIRST_SERVER_ERROR = 500;

/** Dependencies of `CallAttempts`. */
export interface AttemptDependencies {
  readonly emit: GatewayEmit;
  /** Version of the document by which a relayed request has to be judged at least. */
  readonly requiredDocument: (now: Instant) => Revision | undefined;
  readonly endpoints: EndpointRegistry;
  readonly regions: RegionController;
  /** Requests sent to endpoints, for the region's demand. */
  readonly placements: PlacementMeter;
  readonly shares: FairShares;
  readonly router: CallRouter;
  readonly retries: CallRetries;
  readonly cold: ColdAllowance;
  readonly quarantine: QuarantineController;
  readonly terms: EndpointTerms;
}

/** A request and its attempt in progress. */
export interface InFlightCall {
  readonly call: Call;
  readonly attempt: OpenAttempt;
}

/** Tracks the attempts in progress. */
export class CallAttempts {
  readonly #deps: AttemptDependencies;
  readonly #calls = new Map<AttemptId, Call>();
  #prefixNews: PrefixUpdate[] = [];

  constructor(deps: AttemptDependencies) {
    this.#deps = deps;
  }

  /** Returns the request of an attempt, `undefined` if the attempt is no longer in progress. */
  find(id: AttemptId): InFlightCall | undefined {
    const call = this.#calls.get(id);
    const attempt = call?.attempt;
    return call === undefined || attempt?.id !== id
      ? undefined
      : { call, attempt };
  }

  /** Removes and returns the prompt prefixes that were sent to engines since the last call. */
  takeSentPrefixes(): PrefixUpdate[] {
    const prefixes = this.#prefixNews;
    this.#prefixNews = [];
    return prefixes;
  }

  /** Starts an attempt at an endpoint. */
  sendToEndpoint(call: Call, chosen: ChosenEndpoint, now: Instant): void {
    const { state, prefill, tokens } = chosen;
    const target = this.#deps.router.targetOf(call, chosen, now);
    const attempt = this.#open(call, { target, state, now });
    call.trace.notePrefill(prefill);
    const { prompt } = call.head;
    const answer = prompt === undefined ? undefined : {
      bounds: prompt,
      endsAt: call.endsAt,
      events: call.position.eventsOf(prompt.outputTokens),
    };
    state.addAttempt(attempt.id, { prefill, tokens, answer }, now);
    state.health.noteRequestSent(now);
    const { service } = state.record;
    const customer = call.customer?.id;
    this.#deps.placements.add(service, { customer, prefill }, now);
    this.#deps.shares.recordPlaced(service, { customer, tokens: prefill });
    if (prompt !== undefined && state.service?.engine !== undefined) {
      const parts = sharedParts(prompt);
      this.#deps.regions.recordPrefill(prefill, prompt.promptTokens);
      state.prefixes.recordUse(parts);
      const { id, life } = state.record;
      this.#prefixNews.push({ endpoint: id, life, parts });
    }
    this.#emitSend(call, attempt, now);
  }

  /** Starts an attempt through an entry of another region. */
  relayToPeer(
    call: Call,
    { incarnation, region, address }: Extract<
      RoutingDecision,
      { kind: "peer" }
    >,
    now: Instant,
  ): void {
    if (call.attempts === 0) {
      const { regions } = this.#deps;
      const { arrivedAt } = call;
      regions.recordRelayed(call.services[0]!, call.head.prompt, {
        arrivedAt,
        now,
      });
    }
    const target: CallTarget = {
      kind: "peer",
      incarnation,
      region,
      address,
      sentBefore: call.possibleDeliveries,
      documentVersion: this.#deps.requiredDocument(now),
    };
    const attempt = this.#open(call, { target, state: undefined, now });
    this.#emitSend(call, attempt, now);
  }

  /** Records that the shell is about to write the request. */
  noteSent(call: Call, attempt: OpenAttempt, now: Instant): void {
    const { state, id } = attempt;
    attempt.sentAt = now;
    call.log.record(id, "sent");
    this.#deps.retries.recordSend(call, attempt, now);
    call.trace.noteSent(now);
    if (state !== undefined) {
      call.triedEndpoints.add(state.record.id);
      call.unreachedEndpoints.delete(state.record.id);
      call.offered++;
      if (state.isCold(now)) {
        this.#deps.cold.recordSend(state.record.id, now);
      }
      const { fingerprint } = call.head;
      const { path } = call;
      const run = { attempt: id, fingerprint, path, sentAt: now };
      this.#deps.quarantine.noteSent(state, run, call.head.id);
      if (call.isTrial) {
        state.noteTrial(now);
      }
      this.#deps.terms.backoffs.recordSent(state.record, now);
    }
    call.sentAttempts += countAttempts(call, attempt);
  }

  /** Records that an answer is not read because the caller's connection is full, or that reading resumed. */
  noteBackpressure(
    { trace }: Call,
    attempt: OpenAttempt,
    { held, now }: { held: boolean; now: Instant },
  ): void {
    if (held === (attempt.backpressureSince !== undefined)) {
      return;
    }
    if (attempt.state !== undefined) {
      this.#deps.quarantine.noteBackpressure(attempt.state, attempt.id, {
        held,
        now,
      });
    }
    if (attempt.backpressureSince === undefined) {
      attempt.backpressureSince = now;
    } else {
      trace.noteBackpressure(
        milliseconds(now - attempt.backpressureSince),
        now,
      );
      attempt.backpressureSince = undefined;
      attempt.heardAt = now;
    }
  }

  /** Records what the head of an answer states about its endpoint. */
  noteAnswerHead(
    { head }: Call,
    attempt: OpenAttempt,
    { answer, now }: { answer: CallAnswer; now: Instant },
  ): void {
    const { state, id, sentAt } = attempt;
    if (state === undefined) {
      return;
    }
    const { load, status } = answer;
    attempt.succeeded = isSuccess(answer);
    this.#deps.quarantine.noteBegun(state, id, now);
    state.heardAt = now;
    state.reportedLoad = load ?? state.reportedLoad;
    state.reportedLoadAt = load === undefined ? state.reportedLoadAt : now;
    if (load?.contention !== undefined) {
      this.#deps.endpoints.recordContention(state, load.contention, now);
    }
    if (status === MISDIRECTED_REQUEST) {
      return;
    }
    const served = !answer.notRun && !isFailure(answer);
    if (sentAt !== undefined && served) {
      state.noteAnswer(id, sentAt, now);
    }
    const { record } = state;
    const { terms } = this.#deps;
    const context = { call: head.call, status };
    terms.limits.handleAnswer(
      record,
      { stated: answer.limit, answer: context },
      now,
    );
    if (answer.leaving) {
      terms.departures.handleAnswer(record, context);
    }
    if (served) {
      terms.backoffs.recordServed(record, now);
    }
    if (answer.rest !== undefined) {
      terms.backoffs.handleAnswer(record, {
        stated: answer.rest,
        answer: context,
      }, now);
    }
  }

  /** Ends the attempt in progress, with the given state for the verdict. */
  close(
    call: Call,
    state: "unsent" | "lost" | "refused" | "completed",
    now: Instant,
  ): void {
    const { attempt } = call;
    if (attempt !== undefined) {
      this.noteBackpressure(call, attempt, { held: false, now });
      const { permit, sentAt } = attempt;
      if (permit !== undefined && sentAt === undefined) {
        this.#deps.terms.limits.returnPermit(attempt.state!.record, permit);
      }
      call.log.record(attempt.id, state);
      if (sentAt !== undefined) {
        call.trace.noteEnd(state);
      }
      if (attempt.state !== undefined) {
        call.trace.noteEndpointLoad(attempt.state, now);
        attempt.state.removeAttempt(attempt.id, now, {
          complete: state === "completed" && attempt.succeeded,
        });
      }
      this.#calls.delete(attempt.id);
      call.attempt = undefined;
      this.#noteEnd(call, attempt, { state, now });
    }
  }

  #noteEnd(
    { head: { fingerprint } }: Call,
    { id, state: endpoint, sentAt, failed, succeeded }: OpenAttempt,
    { state, now }: {
      state: "unsent" | "lost" | "refused" | "completed";
      now: Instant;
    },
  ): void {
    if (endpoint === undefined || sentAt === undefined) {
      return;
    }
    const lost = state === "lost" || failed;
    const end: AttemptOutcome = lost
      ? "lost"
      : state === "completed" && succeeded
      ? "answered"
      : "refused";
    const run = { attempt: id, fingerprint, end };
    this.#deps.quarantine.noteOutcome(endpoint, run, now);
    if (failed) {
      this.#deps.quarantine.noteBrokenConnection(endpoint, now);
    }
  }

  /** Aborts the attempt in progress, if there is one. */
  abandon(call: Call, now: Instant): void {
    if (call.attempt !== undefined) {
      const { id, sentAt } = call.attempt;
      this.#deps.emit({ kind: "abort", attempt: id });
      this.close(call, sentAt === undefined ? "unsent" : "lost", now);
    }
  }

  #open(
    call: Call,
    { target, state, now }: {
      target: CallTarget;
      state: EndpointState | undefined;
      now: Instant;
    },
  ): OpenAttempt {
    call.attempts++;
    const id = `${call.head.id}.${call.attempts}` as AttemptId;
    const attempt: OpenAttempt = {
      id,
      target,
      state,
      origin: state && {
        service: state.record.service,
        version: state.record.softwareVersion,
      },
      createdAt: now,
      permit: state === undefined
        ? undefined
        : this.#deps.terms.limits.take(state.record, now),
      sentAt: undefined,
      heardAt: undefined,
      backpressureSince: undefined,
      retry: undefined,
      failed: false,
      succeeded: false,
      partialEventBytes: 0,
    };
    call.attempt = attempt;
    call.trace.notePlaced(attempt);
    if (call.phase === "waiting") {
      call.phase = "trying";
    }
    call.log.record(id, "prepared");
    this.#calls.set(id, call);
    return attempt;
  }

  #emitSend(
    call: Call,
    { id, target, state }: OpenAttempt,
    now: Instant,
  ): void {
    this.#deps.emit({
      kind: "send",
      attempt: {
        id,
        request: call.head.id,
        target,
        streaming: call.route.kind === "stream",
        maxIdleTime: milliseconds(maxIdleMs(call, state, now)),
        customer: call.customer?.id,
        resumeAfter: call.position.lastId,
        origin: call.origin,
      },
    });
  }
}

/**
 * Whether an answer to a request that may have run counts as a failure of its endpoint. A status that promises the
 * opposite does.
 */
export function isFailure({ status }: Pick<CallAnswer, "status">): boolean {
  return status >= FIRST_SERVER_ERROR || promisesNotRun(status);
}

function isSuccess({ status, notRun }: CallAnswer): boolean {
  return !notRun && status >= FIRST_SUCCESS && status < FIRST_REDIRECTION;
}

/**
 * Attempts to count for one attempt. A peer may use all attempts of a relayed request, and its connection may
 * break before it reports them. Counted as one, the request could run at more endpoints than its route allows.
 */
export function countAttempts(
  { route }: Call,
  { target }: OpenAttempt,
): number {
  return target.kind === "peer" ? route.attempts : 1;
}
