/**
 * All that an entry decides: events in, effects out. No sockets, no clock, no unseeded randomness.
 *
 * @module
 */
import { ActionController } from "./actions/index.ts";
import type { Blackboard, Self, Writable } from "./blackboard/index.ts";
import {
  ConfigurationController,
  createConfiguration,
} from "./configuration/index.ts";
import { EndpointController } from "./endpoints/index.ts";
import { Explanations } from "./explain/index.ts";
import type { Instant, Randomness, Revision } from "./ids/index.ts";
import { createLifecycle, LifecycleController } from "./lifecycle/index.ts";
import { ListenedTime } from "./listening/index.ts";
import { createMembership, MembershipController } from "./membership/index.ts";
import type {
  ConfigurationCopy,
  CoreEvent,
  Effect,
  HandOver,
  Heartbeat,
  HeartbeatReply,
} from "./messages/index.ts";
import { Metrics } from "./metrics/index.ts";
import { PlacementController } from "./placement/index.ts";
import { RequestController, RequestQuarantine } from "./requests/index.ts";
import { type BalancerName, createBalancer } from "./routing/index.ts";

/** How long a stopping entry goes on refusing with other entries' addresses, until callers know. */
export const STOP_LINGER_MS = 1_000;
/** How long a hand-over may take before the entry ends without its answer. */
export const HAND_OVER_TIMEOUT_MS = 2_000;

/** What a core is made with. */
export interface CoreOptions {
  readonly self: Self;
  readonly random: Randomness;
  readonly balancer?: BalancerName;
}

/** One entry's decisions. */
export class Core {
  readonly board: Blackboard;
  readonly explanations = new Explanations();
  readonly metrics = new Metrics();
  readonly #lifecycle: LifecycleController;
  readonly #configuration: ConfigurationController;
  readonly #membership: MembershipController;
  readonly #endpoints: EndpointController;
  readonly #actions: ActionController;
  readonly #requests: RequestController;
  readonly #quarantine: RequestQuarantine;
  readonly #placement: PlacementController;
  readonly #listened: ListenedTime;
  #effects: Effect[] = [];
  #stopAt: Instant | undefined;
  #handOverAt: Instant | undefined;
  #openHandOvers = 0;

  constructor(
    { self, random, balancer = "estimate" }: CoreOptions,
    now: Instant,
  ) {
    const emit = (effect: Effect): void => {
      this.#effects.push(effect);
    };
    this.#listened = new ListenedTime(now);
    const lifecycle = createLifecycle(now);
    const configuration = createConfiguration();
    const membership = createMembership();
    const board = { self, lifecycle, configuration, membership } as Partial<
      Writable<Blackboard>
    > as Writable<Blackboard>;
    this.board = board;
    this.#lifecycle = new LifecycleController(board, lifecycle, emit);
    this.#configuration = new ConfigurationController(board, configuration, {
      emit,
      random,
      now,
    });
    this.#membership = new MembershipController(board, membership, {
      emit,
      listened: this.#listened,
      now,
    });
    this.#actions = new ActionController(board, { emit, now });
    const onLeaving = this.#membership.announceLeaving.bind(this.#membership);
    this.#endpoints = new EndpointController(board, {
      emit,
      random,
      now,
      onLeaving,
    });
    this.#quarantine = new RequestQuarantine(board, {
      emit,
      listened: this.#listened,
      now,
    });
    this.#requests = new RequestController(board, {
      emit,
      actions: this.#actions,
      endpoints: this.#endpoints,
      balancer: createBalancer(balancer, random),
      explanations: this.explanations,
      metrics: this.metrics,
      quarantine: this.#quarantine,
    });
    this.#placement = new PlacementController(board, { emit, now });
    board.endpoints = this.#endpoints;
    board.actions = this.#actions;
    board.requests = this.#requests;
  }

  /** Takes one event and returns what is to be done, in order. */
  handle(event: CoreEvent, now: Instant): Effect[] {
    this.#noteLoop(now);
    this.#apply(event, now);
    return this.#takeEffects();
  }

  /** Answers a peer's heartbeat. Effects that it causes come with the next `handle`. */
  answerHeartbeat(heartbeat: Heartbeat, now: Instant): HeartbeatReply {
    this.#noteLoop(now);
    const reply = this.#membership.receive(heartbeat, now);
    heartbeat.leaving.forEach(({ endpoint }) =>
      this.#endpoints.leave(endpoint, "peer", now)
    );
    this.#configuration.heard(now);
    this.#configuration.heardRejected(heartbeat.rejected, now);
    return reply;
  }

  /** Answers a peer that asks for the text. */
  answerConfiguration(have: Revision): ConfigurationCopy | undefined {
    return this.#configuration.copyFor(have);
  }

  /** Takes over a stopping peer's keys, or declines. */
  answerHandOver(handOver: HandOver, now: Instant): boolean {
    this.#noteLoop(now);
    const taken = this.#actions.takeOver(handOver, now);
    if (taken) {
      this.#membership.announce(now);
    }
    return taken;
  }

  /** The token that callers make idempotency keys from. */
  ownerToken(now: Instant): string {
    return this.#actions.ownerToken(now);
  }

  /** A pause is known to all controllers before anything is decided after it. */
  #noteLoop(now: Instant): void {
    this.#listened.note(now);
    this.#lifecycle.noteLoop(now);
    this.#configuration.noteWake(now);
  }

  #takeEffects(): Effect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }

  #apply(event: CoreEvent, now: Instant): void {
    switch (event.kind) {
      case "tick":
        return this.#tick(now);
      case "stop":
        return this.#stop(now);
      case "configurationRead":
        return this.#configuration.read(event.revision, event.text, now);
      case "configurationUnchanged":
        return this.#configuration.unchanged(now);
      case "configurationFailed":
        return this.#configuration.failed(now);
      case "configurationCopied":
        return this.#configuration.copied(event, now);
      case "vmsListed":
        this.#membership.listed(event.vms);
        return this.#endpoints.listed(event.vms, now);
      case "vmsUnchanged":
      case "vmListFailed":
        return this.#endpoints.listKept(now);
      case "heartbeatReply":
        return this.#replied(event.reply, now);
      case "peerRefused":
        return this.#membership.refused(event.url);
      case "outcomeCopy":
        return this.#actions.keepCopy(event.copy, now);
      case "handOverDone":
        return this.#handedOver();
      case "quarantineNews":
        return this.#quarantine.learn(event.news, now);
      case "load":
        this.#quarantine.heard(event.endpoint, now);
        return this.#endpoints.reported(event.endpoint, event.report, now);
      case "loadFailed":
        this.#quarantine.silent(event.endpoint);
        return this.#endpoints.failed(event.endpoint, now);
      case "orderDone":
        return this.#placement.answered(event.endpoint, event.accepted);
      default:
        return this.#applyRequest(event, now);
    }
  }

  #applyRequest(event: CoreEvent, now: Instant): void {
    switch (event.kind) {
      case "request":
        return this.#requests.arrive(event.head, now);
      case "body":
        return this.#requests.bodyRead(event.request, event.facts, now);
      case "bodyFailed":
        return this.#requests.bodyFailed(event.request, event.detail, now);
      case "commit":
        return this.#requests.commit(event.attempt, now);
      case "firstToken":
        return this.#requests.firstToken(event.attempt, now);
      case "progress":
        return this.#requests.progress(event.attempt, event.offset, now);
      case "attemptEnded":
        return this.#requests.attemptEnded(event.attempt, event.end, now);
      case "callerGone":
        return this.#requests.callerGone(event.request, now);
    }
  }

  #replied(reply: HeartbeatReply, now: Instant): void {
    this.#membership.replied(reply, now);
    reply.leaving.forEach(({ endpoint }) =>
      this.#endpoints.leave(endpoint, "peer", now)
    );
    this.#configuration.heard(now);
    this.#configuration.heardRejected(reply.rejected, now);
  }

  #tick(now: Instant): void {
    this.#lifecycle.tick();
    this.#configuration.tick(now);
    this.#membership.tick(now);
    this.#endpoints.tick(now);
    this.#actions.tick(now);
    this.#quarantine.tick(now);
    this.#requests.tick(now);
    this.#placement.tick(now);
    this.#continueStop(now);
  }

  #stop(now: Instant): void {
    if (this.#stopAt !== undefined) {
      return;
    }
    this.#stopAt = now;
    this.#lifecycle.stop();
    this.#membership.announce(now);
  }

  /** Ends only when no request is in flight and the keys are with their successor. */
  #continueStop(now: Instant): void {
    if (
      this.#stopAt === undefined || this.board.lifecycle.phase === "stopped"
    ) {
      return;
    }
    if (this.#handOverAt !== undefined) {
      if (now - this.#handOverAt >= HAND_OVER_TIMEOUT_MS) {
        this.#finishStop();
      }
      return;
    }
    if (this.#requests.active > 0 || now - this.#stopAt < STOP_LINGER_MS) {
      return;
    }
    this.#handOverAt = now;
    this.#openHandOvers = this.#actions.handOver(now);
    this.#membership.announce(now);
    if (this.#openHandOvers === 0) {
      this.#finishStop();
    }
  }

  #handedOver(): void {
    this.#openHandOvers--;
    if (this.#openHandOvers === 0) {
      this.#finishStop();
    }
  }

  #finishStop(): void {
    if (this.board.lifecycle.phase === "stopping") {
      this.#lifecycle.finish();
    }
  }
}
