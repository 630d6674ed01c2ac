/**
 * The ways of requests in virtual time: callers to entries, entries to endpoints and to peers.
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
  type CallerResult,
  CallerResults,
  type CallerSend,
  type WayEnd,
} from "./caller_results.ts";
import { EndpointWay } from "./endpoint_way.ts";
import { ANSWER_SLACK_MS } from "./violations.ts";
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

/** Carries requests. */
export class Exchanges {
  readonly #world: World;
  readonly #open = new Map<string, Open>();
  readonly #callers: CallerResults;
  readonly #endpoints: EndpointWay;
  #counter = 0;

  constructor(world: World) {
    this.#world = world;
    this.#callers = new CallerResults(world);
    this.#endpoints = new EndpointWay({
      world,
      close: (request) => this.#open.delete(request),
    });
  }

  /** What callers got so far. */
  get results(): ReadonlyMap<string, CallerResult> {
    return this.#callers.byCaller;
  }

  /** A caller sends; its connection is refused by a dead entry. */
  send(send: CallerSend): void {
    const entry = this.#world.entry(send.entry);
    const { time, violations } = this.#world;
    if (entry === undefined || entry.dead) {
      this.#callers.record(send, {
        status: 0,
        verdict: "not_run",
        reason: "connect refused",
      });
      return;
    }
    const sentAt = time.now;
    time.after(send.deadlineMs + ANSWER_SLACK_MS, () => {
      if (
        this.#callers.isOpen(send.name) && !entry.dead && !entry.frozen &&
        !this.#world.wasFrozen(entry.id, sentAt)
      ) {
        violations.note(
          time.now,
          `caller ${send.name} got no answer by its deadline`,
        );
      }
    });
    this.#counter++;
    const id = `${entry.id}-${this.#counter}`;
    this.#arrive({
      entry,
      send,
      origin: id,
      hops: 0,
      reply: (answer) => this.#callers.answer(send, answer),
    }, {
      id,
      forwarded: false,
      deadlineMs: send.deadlineMs,
      resumeOffset: 0,
      hops: send.hops,
    });
  }

  /** A caller hangs up. */
  hangUp(name: string): void {
    this.#callers.hangUp(name);
    for (const [id, open] of this.#open) {
      if (open.send.name === name && open.hops === 0) {
        open.entry.tell({ kind: "callerGone", request: id as RequestId });
      }
    }
  }

  /** An entry asks for the body of an open request. */
  readBody(entry: VirtualEntry, request: RequestId): void {
    const open = this.#open.get(request);
    if (open === undefined) {
      return;
    }
    const { customer, body, service, promptTokens } = open.send;
    this.#world.checkHome(entry.region, { what: "body", customer });
    const facts: BodyFacts = {
      digest: sha256(`${service} ${body}`),
      promptTokens,
      blocks: [],
    };
    entry.tell({ kind: "body", request, facts });
  }

  /** An entry gives its final answer. */
  finish(request: RequestId, answer: FinalAnswer): void {
    const open = this.#open.get(request);
    this.#open.delete(request);
    open?.reply(answer);
  }

  /** An entry makes an attempt. */
  dispatch(entry: VirtualEntry, attempt: Attempt): void {
    const open = this.#open.get(attempt.request);
    if (open === undefined) {
      entry.tell({
        kind: "attemptEnded",
        attempt: attempt.id,
        end: CONNECT_REFUSED,
      });
      return;
    }
    if (attempt.target.kind === "endpoint") {
      this.#endpoints.send(entry, {
        attempt,
        open,
        endpoint: this.#world.endpoint(attempt.target.endpoint),
      });
    } else {
      this.#toPeer(entry, {
        attempt,
        open,
        peer: this.#world.entryAt(attempt.target.url),
      });
    }
  }

  /** An entry that dies takes its connections with it. */
  entryDied(entry: VirtualEntry): void {
    for (const [id, open] of this.#open) {
      if (open.entry === entry) {
        this.#open.delete(id);
        if (open.hops === 0) {
          this.#callers.record(open.send, {
            status: 0,
            verdict: "",
            reason: "connection reset",
          });
        } else {
          open.reply({ kind: "refused", refusal: LOST_PEER });
        }
      }
    }
  }

  #arrive(
    open: Open,
    { id, forwarded, deadlineMs, resumeOffset, hops }: {
      id: string;
      forwarded: boolean;
      deadlineMs: number;
      resumeOffset: number;
      hops: readonly string[];
    },
  ): void {
    const { entry, send } = open;
    this.#open.set(id, open);
    this.#world.violations.checkHops(this.#world.time.now, {
      request: open.origin,
      hops: open.hops,
    });
    const head: RequestHead = {
      id: id as RequestId,
      tokenDigest: sha256(`demo-${send.customer}`),
      service: send.service,
      requestClass: send.requestClass,
      deadline: milliseconds(deadlineMs),
      key: send.key,
      hops,
      forwarded,
      resumeOffset,
    };
    entry.tell({ kind: "request", head });
  }

  #toPeer(
    entry: VirtualEntry,
    { attempt, open, peer }: {
      attempt: Attempt;
      open: Open;
      peer: VirtualEntry | undefined;
    },
  ): void {
    const { network, time } = this.#world;
    const end = endingOf(entry, attempt);
    if (peer === undefined || peer.dead || !network.reaches(entry, peer)) {
      time.after(
        peer === undefined || peer.dead ? 2 : CONNECT_TIMEOUT_MS,
        () => end(CONNECT_REFUSED),
      );
      return;
    }
    const delay = network.delay(entry, peer);
    entry.deliver(() => {
      if (!isWanted(entry, attempt)) {
        return;
      }
      this.#world.checkHome(peer.region, {
        what: "forwarded body",
        customer: open.send.customer,
      });
      const reply = (
        answer: WayEnd,
      ): void =>
        time.after(
          delay,
          () =>
            network.reaches(peer, entry)
              ? this.#relay(entry, { attempt, open, answer, end })
              : end(RESET),
        );
      time.after(delay, () => {
        if (peer.dead) {
          end(RESET);
          return;
        }
        this.#arrive({
          entry: peer,
          send: open.send,
          origin: open.origin,
          hops: open.hops + 1,
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

  #relay(
    entry: VirtualEntry,
    { attempt, open, answer, end }: {
      attempt: Attempt;
      open: Open;
      answer: WayEnd;
      end: (result: AttemptEnd) => void;
    },
  ): void {
    if (answer.kind === "streamed") {
      entry.tell({ kind: "firstToken", attempt: attempt.id });
      entry.deliver(() => {
        if (this.#open.delete(attempt.request)) {
          open.reply(answer);
        }
      });
      end({ kind: "streamed" });
    } else if (answer.kind === "refused") {
      if (answer.refusal === LOST_PEER) {
        end(RESET);
        return;
      }
      const { status, verdict, reason, retryAfter } = answer.refusal;
      const stored = storedAnswer({ status, body: JSON.stringify({ reason }) });
      end({
        kind: "answered",
        answer: stored,
        verdict,
        ...(retryAfter === undefined ? {} : { retryAfter }),
      });
    } else {
      end({ kind: "answered", answer: answer.answer, verdict: answer.verdict });
    }
  }
}

const LOST_PEER = {
  reason: "endpoint_failed",
  status: 0,
  detail: "",
  verdict: { kind: "not_run" },
} as const;
