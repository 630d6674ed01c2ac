/**
 * Carries attempts to endpoints and their answers back, in virtual time.
 *
 * @module
 */
import type { Attempt, AttemptEnd, RequestId } from "@sassafrasstep/core";
import type { CallerRequest } from "./caller_results.ts";
import type { FakeEndpoint, FakeReply } from "./endpoint_fakes.ts";
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

/** Dependencies of the endpoint transport. */
export interface EndpointTransportOptions {
  readonly world: World;
  /** Marks a request as answered; returns `false` if it was already answered or is gone. */
  readonly closeRequest: (request: RequestId) => boolean;
}

/** Carries attempts to endpoints. */
export class EndpointTransport {
  readonly #options: EndpointTransportOptions;

  constructor(options: EndpointTransportOptions) {
    this.#options = options;
  }

  /** Connects to the endpoint, asks the entry whether it still wants the attempt, and sends it. */
  send(
    entry: VirtualEntry,
    { attempt, openRequest, endpoint }: {
      attempt: Attempt;
      openRequest: OpenRequest;
      endpoint: FakeEndpoint | undefined;
    },
  ): void {
    const { network, time } = this.#options.world;
    const reportEnd = createEndReporter(entry, attempt);
    if (endpoint === undefined || !network.reaches(entry, endpoint)) {
      time.after(CONNECT_TIMEOUT_MS, () => reportEnd(CONNECT_REFUSED));
      return;
    }
    const delay = network.delay(entry, endpoint);
    time.after(2 * delay, () => {
      if (endpoint.dead) {
        reportEnd(CONNECT_REFUSED);
        return;
      }
      entry.runWhenActive(() => {
        if (isWanted(entry, attempt)) {
          time.after(
            delay,
            () =>
              this.#runAtEndpoint(entry, {
                attempt,
                openRequest,
                endpoint,
                reportEnd,
              }),
          );
        }
      });
    });
  }

  #runAtEndpoint(
    entry: VirtualEntry,
    { attempt, openRequest, endpoint, reportEnd }: {
      attempt: Attempt;
      openRequest: OpenRequest;
      endpoint: FakeEndpoint;
      reportEnd: (result: AttemptEnd) => void;
    },
  ): void {
    const { time, violations, network } = this.#options.world;
    if (endpoint.dead) {
      reportEnd(RESET);
      return;
    }
    const { customer } = openRequest.request;
    this.#options.world.checkHome(endpoint.region, { what: "call", customer });
    violations.checkLeaving(time.now, {
      id: endpoint.id,
      leavingNoticeTimes: endpoint.leavingNoticeTimes,
      zone: entry.zone,
    });
    const reply = endpoint.handleCall({
      attempt: attempt.id,
      originId: openRequest.originId,
      key: openRequest.request.key,
      customer,
      resumeOffset: attempt.resumeOffset,
    });
    this.#checkRuns(openRequest.request);
    const crashes = this.#options.world.poisons.handleArrival(
      openRequest.request.body,
      {
        endpoint,
        onRunEnd: () => {
          endpoint.finishCall();
          reportEnd(RESET);
        },
      },
    );
    if (crashes) {
      return;
    }
    if (reply.end.kind === "none") {
      return;
    }
    time.after(reply.afterMs, () => {
      endpoint.finishCall();
      if (endpoint.dead || !network.reaches(endpoint, entry)) {
        reportEnd(RESET);
        return;
      }
      this.#deliverReply(entry, { attempt, openRequest, reply, reportEnd });
    });
  }

  #deliverReply(
    entry: VirtualEntry,
    { attempt, openRequest, reply, reportEnd }: {
      attempt: Attempt;
      openRequest: OpenRequest;
      reply: FakeReply;
      reportEnd: (result: AttemptEnd) => void;
    },
  ): void {
    if (reply.end.kind === "answer") {
      reportEnd({ kind: "answered", answer: storedAnswer(reply.end) });
    } else if (reply.end.kind === "stream") {
      entry.sendEvent({ kind: "firstToken", attempt: attempt.id });
      entry.sendEvent({
        kind: "progress",
        attempt: attempt.id,
        offset: reply.end.tokens,
      });
      const { complete } = reply.end;
      entry.runWhenActive(() => {
        if (complete && this.#options.closeRequest(attempt.request)) {
          openRequest.reply({ kind: "streamed" });
        }
      });
      reportEnd(complete ? { kind: "streamed" } : RESET);
    } else {
      reportEnd(RESET);
    }
  }

  #checkRuns({ key: actionKey }: CallerRequest): void {
    if (actionKey !== undefined) {
      this.#options.world.violations.checkRuns(
        this.#options.world.time.now,
        actionKey,
        this.#options.world.countRuns(actionKey),
      );
    }
  }
}
