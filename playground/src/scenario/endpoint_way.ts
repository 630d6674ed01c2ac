/**
 * The way of an attempt to an endpoint and back, in virtual time.
 *
 * @module
 */
import type { Attempt, AttemptEnd, RequestId } from "@sassafrasstep/core";
import type { CallerSend } from "./caller_results.ts";
import type { FakeEndpoint, FakeReply } from "./endpoint_fakes.ts";
import type { VirtualEntry } from "./virtual_entry.ts";
import {
  CONNECT_REFUSED,
  CONNECT_TIMEOUT_MS,
  endingOf,
  isWanted,
  type Open,
  RESET,
  storedAnswer,
} from "./way.ts";
import type { World } from "./world.ts";

/** What the way works with. */
export interface EndpointWayTools {
  readonly world: World;
  /** The request has its answer; `false` if it had one before. */
  readonly close: (request: RequestId) => boolean;
}

/** Carries attempts to endpoints. */
export class EndpointWay {
  readonly #tools: EndpointWayTools;

  constructor(tools: EndpointWayTools) {
    this.#tools = tools;
  }

  /** Connects, asks whether the attempt is still wanted, and sends it. */
  send(
    entry: VirtualEntry,
    { attempt, open, endpoint }: {
      attempt: Attempt;
      open: Open;
      endpoint: FakeEndpoint | undefined;
    },
  ): void {
    const { network, time } = this.#tools.world;
    const end = endingOf(entry, attempt);
    if (endpoint === undefined || !network.reaches(entry, endpoint)) {
      time.after(CONNECT_TIMEOUT_MS, () => end(CONNECT_REFUSED));
      return;
    }
    const delay = network.delay(entry, endpoint);
    time.after(2 * delay, () => {
      if (endpoint.dead) {
        end(CONNECT_REFUSED);
        return;
      }
      entry.deliver(() => {
        if (isWanted(entry, attempt)) {
          time.after(
            delay,
            () => this.#runAtEndpoint(entry, { attempt, open, endpoint, end }),
          );
        }
      });
    });
  }

  #runAtEndpoint(
    entry: VirtualEntry,
    { attempt, open, endpoint, end }: {
      attempt: Attempt;
      open: Open;
      endpoint: FakeEndpoint;
      end: (result: AttemptEnd) => void;
    },
  ): void {
    const { time, violations, network } = this.#tools.world;
    if (endpoint.dead) {
      end(RESET);
      return;
    }
    const { customer } = open.send;
    this.#tools.world.checkHome(endpoint.region, { what: "call", customer });
    violations.checkLeaving(time.now, {
      id: endpoint.id,
      signs: endpoint.signs,
      zone: entry.zone,
    });
    const reply = endpoint.take({
      attempt: attempt.id,
      origin: open.origin,
      key: open.send.key,
      customer,
      resumeOffset: attempt.resumeOffset,
    });
    this.#checkRuns(open.send);
    const crashes = this.#tools.world.poisons.strikes(open.send.body, {
      endpoint,
      ended: () => {
        endpoint.ended();
        end(RESET);
      },
    });
    if (crashes) {
      return;
    }
    if (reply.end.kind === "none") {
      return;
    }
    time.after(reply.afterMs, () => {
      endpoint.ended();
      if (endpoint.dead || !network.reaches(endpoint, entry)) {
        end(RESET);
        return;
      }
      this.#deliverReply(entry, { attempt, open, reply, end });
    });
  }

  #deliverReply(
    entry: VirtualEntry,
    { attempt, open, reply, end }: {
      attempt: Attempt;
      open: Open;
      reply: FakeReply;
      end: (result: AttemptEnd) => void;
    },
  ): void {
    if (reply.end.kind === "answer") {
      end({ kind: "answered", answer: storedAnswer(reply.end) });
    } else if (reply.end.kind === "stream") {
      entry.tell({ kind: "firstToken", attempt: attempt.id });
      entry.tell({
        kind: "progress",
        attempt: attempt.id,
        offset: reply.end.tokens,
      });
      const { whole } = reply.end;
      entry.deliver(() => {
        if (whole && this.#tools.close(attempt.request)) {
          open.reply({ kind: "streamed" });
        }
      });
      end(whole ? { kind: "streamed" } : RESET);
    } else {
      end(RESET);
    }
  }

  #checkRuns({ key: actionKey }: CallerSend): void {
    if (actionKey !== undefined) {
      this.#tools.world.violations.checkRuns(
        this.#tools.world.time.now,
        actionKey,
        this.#tools.world.runsOf(actionKey),
      );
    }
  }
}
