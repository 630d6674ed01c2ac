/**
 * Carries requests in virtual time: from callers to entries, and from entries to endpoints and peers.
 *
 * @module
 */
import {
  type Attempt,
  type AttemptEnd,
  type BodyFacts,
  type FinalAnswer,
  type Incarnation,
  milliseconds,
  type RequestHead,
  type RequestId,
  sha256,
} from "@sassafrasstep/core";
import {
  type CallerRequest,
  type CallerResult,
  CallerResults,
  type RequestOutcome,
} from "./caller_results.ts";
import { EndpointTransport } from "./endpoint_way.ts";
import { ANSWER_SLACK_MS } from "./violations.ts";
import type { VirtualEntry } from "./virtual_entry.ts";
import {
  CONNECT_REFUSED,
  CONNECT_TIMEOUT_MS,
  createEndReporter,
  isWanted,
  type OpenRequest,
  RESET,
  storedAnswer,
} from "./way.ts";
import type { World } from "./world.ts";

/** Carries requests and keeps those that are still open. */
export class RequestTransport {
  readonly #world: World;
  readonly #openRequests = new Map<string, OpenRequest>();
  readonly #callerResults: CallerResults;
  readonly #endpointTransport: EndpointTransport;
  #requestCount = 0;

  constructor(world: World) {
    this.#world = world;
    this.#callerResults = new CallerResults(world);
    this.#endpointTransport = new EndpointTransport({
      world,
      closeRequest: (request) => this.#openRequests.delete(request),
    });
  }

  /** Results so far, by caller name. */
  get results(): ReadonlyMap<string, CallerResult> {
    return this.#callerResults.byCaller;
  }

  /** Sends a caller's request. A crashed entry refuses the connection. */
  send(request: CallerRequest): void {
    const entry = this.#world.entry(request.entry);
    const { time, violations } = this.#world;
    if (entry === undefined || entry.dead) {
      this.#callerResults.record(request, {
        status: 0,
        verdict: "not_run",
        reason: "connect refused",
      });
      return;
    }
    const sentAt = time.now;
    time.after(request.deadlineMs + ANSWER_SLACK_MS, () => {
      if (
        this.#callerResults.isWaiting(request.name) && !entry.dead &&
        !entry.frozen &&
        !this.#world.wasFrozenSince(entry.id, sentAt)
      ) {
        violations.note(
          time.now,
          `caller ${request.name} got no answer by its deadline`,
        );
      }
    });
    this.#requestCount++;
    const id = `${entry.id}-${this.#requestCount}`;
    this.#receive({
      entry,
      request,
      originId: id,
      hops: 0,
      reply: (outcome) => this.#callerResults.recordOutcome(request, outcome),
    }, {
      id,
      forwarded: false,
      deadlineMs: request.deadlineMs,
      resumeOffset: 0,
      hops: request.hops,
    });
  }

  /** Closes a caller's connection and tells the entry that holds it. */
  hangUp(name: string): void {
    this.#callerResults.hangUp(name);
    for (const [id, openRequest] of this.#openRequests) {
      if (openRequest.request.name === name && openRequest.hops === 0) {
        openRequest.entry.sendEvent({
          kind: "callerGone",
          request: id as RequestId,
        });
      }
    }
  }

  /** Delivers the body of an open request to the entry that asks for it. */
  readBody(entry: VirtualEntry, request: RequestId): void {
    const openRequest = this.#openRequests.get(request);
    if (openRequest === undefined) {
      return;
    }
    const { customer, body, service, promptTokens } = openRequest.request;
    this.#world.checkHome(entry.region, { what: "body", customer });
    const facts: BodyFacts = {
      digest: sha256(`${service} ${body}`),
      promptTokens,
      blocks: [],
    };
    entry.sendEvent({ kind: "body", request, facts });
  }

  /** Passes an entry's final answer to the request's sender. */
  finish(request: RequestId, answer: FinalAnswer): void {
    const openRequest = this.#openRequests.get(request);
    this.#openRequests.delete(request);
    openRequest?.reply(answer);
  }

  /** Sends an entry's attempt to an endpoint or a peer. */
  dispatch(entry: VirtualEntry, attempt: Attempt): void {
    const openRequest = this.#openRequests.get(attempt.request);
    if (openRequest === undefined) {
      entry.sendEvent({
        kind: "attemptEnded",
        attempt: attempt.id,
        end: CONNECT_REFUSED,
      });
      return;
    }
    if (attempt.target.kind === "endpoint") {
      this.#endpointTransport.send(entry, {
        attempt,
        openRequest,
        endpoint: this.#world.endpoint(attempt.target.endpoint),
      });
    } else {
      this.#sendToPeer(entry, {
        attempt,
        openRequest,
        peer: this.#world.entryAt(attempt.target.url),
      });
    }
  }

  /** Breaks all connections to an entry that has crashed. */
  closeConnectionsOf(entry: VirtualEntry): void {
    for (const [id, openRequest] of this.#openRequests) {
      if (openRequest.entry === entry) {
        this.#openRequests.delete(id);
        if (openRequest.hops === 0) {
          this.#callerResults.record(openRequest.request, {
            status: 0,
            verdict: "",
            reason: "connection reset",
          });
        } else {
          openRequest.reply({ kind: "refused", refusal: PEER_CONNECTION_LOST });
        }
      }
    }
  }

  #receive(
    openRequest: OpenRequest,
    { id, forwarded, deadlineMs, resumeOffset, hops }: {
      id: string;
      forwarded: boolean;
      deadlineMs: number;
      resumeOffset: number;
      hops: readonly string[];
    },
  ): void {
    const { entry, request } = openRequest;
    this.#openRequests.set(id, openRequest);
    this.#world.violations.checkHops(this.#world.time.now, {
      request: openRequest.originId,
      hops: openRequest.hops,
    });
    const head: RequestHead = {
      id: id as RequestId,
      tokenDigest: sha256(`demo-${request.customer}`),
      service: request.service,
      requestClass: request.requestClass,
      deadline: milliseconds(deadlineMs),
      key: request.key,
      hops,
      forwarded,
      resumeOffset,
    };
    entry.sendEvent({ kind: "request", head });
  }

  #sendToPeer(
    entry: VirtualEntry,
    { attempt, openRequest, peer }: {
      attempt: Attempt;
      openRequest: OpenRequest;
      peer: VirtualEntry | undefined;
    },
  ): void {
    const { network, time } = this.#world;
    const reportEnd = createEndReporter(entry, attempt);
    if (peer === undefined || peer.dead || !network.reaches(entry, peer)) {
      time.after(
        peer === undefined || peer.dead ? 2 : CONNECT_TIMEOUT_MS,
        () => reportEnd(CONNECT_REFUSED),
      );
      return;
    }
    const delay = network.delay(entry, peer);
    entry.runWhenActive(() => {
      if (!isWanted(entry, attempt)) {
        return;
      }
      this.#world.checkHome(peer.region, {
        what: "forwarded body",
        customer: openRequest.request.customer,
      });
      const reply = (
        outcome: RequestOutcome,
      ): void =>
        time.after(
          delay,
          () =>
            network.reaches(peer, entry)
              ? this.#returnOutcome(entry, {
                attempt,
                openRequest,
                outcome,
                reportEnd,
              })
              : reportEnd(RESET),
        );
      time.after(delay, () => {
        if (peer.dead) {
          reportEnd(RESET);
          return;
        }
        this.#receive({
          entry: peer,
          request: openRequest.request,
          originId: openRequest.originId,
          hops: openRequest.hops + 1,
          reply,
        }, {
          id: attempt.id,
          forwarded: true,
          deadlineMs: attempt.timeLeft,
          resumeOffset: attempt.resumeOffset,
          hops: [entry.incarnation as Incarnation],
        });
      });
    });
  }

  #returnOutcome(
    entry: VirtualEntry,
    { attempt, openRequest, outcome, reportEnd }: {
      attempt: Attempt;
      openRequest: OpenRequest;
      outcome: RequestOutcome;
      reportEnd: (result: AttemptEnd) => void;
    },
  ): void {
    if (outcome.kind === "streamed") {
      entry.sendEvent({ kind: "firstToken", attempt: attempt.id });
      entry.runWhenActive(() => {
        if (this.#openRequests.delete(attempt.request)) {
          openRequest.reply(outcome);
        }
      });
      reportEnd({ kind: "streamed" });
    } else if (outcome.kind === "refused") {
      if (outcome.refusal === PEER_CONNECTION_LOST) {
        reportEnd(RESET);
        return;
      }
      const { status, verdict, reason, retryAfter } = outcome.refusal;
      const stored = storedAnswer({ status, body: JSON.stringify({ reason }) });
      reportEnd({
        kind: "answered",
        answer: stored,
        verdict,
        ...(retryAfter === undefined ? {} : { retryAfter }),
      });
    } else {
      reportEnd({
        kind: "answered",
        answer: outcome.answer,
        verdict: outcome.verdict,
      });
    }
  }
}

const PEER_CONNECTION_LOST = {
  reason: "endpoint_failed",
  status: 0,
  detail: "",
  verdict: { kind: "not_run" },
} as const;
