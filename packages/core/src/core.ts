/**
 * The core makes all decisions of an entry: it takes events and returns effects. It uses no sockets, no clock and no
 * unseeded randomness.
 *
 * @module
 */
import { ActionController } from "./actions/index.ts";
import type {
  Blackboard,
  EntryIdentity,
  Writable,
} from "./blackboard/index.ts";
import {
  ConfigurationController,
  createConfigurationView,
} from "./configuration/index.ts";
import { EndpointController } from "./endpoints/index.ts";
import { DecisionLog } from "./explain/index.ts";
import type { Instant, Randomness, Revision } from "./ids/index.ts";
import {
  createLifecycleSection,
  LifecycleController,
} from "./lifecycle/index.ts";
import { StallAdjustedClock } from "./listening/index.ts";
import {
  createMembershipSection,
  MembershipController,
} from "./membership/index.ts";
import type {
  ConfigurationCopy,
  CoreEvent,
  Effect,
  Heartbeat,
  HeartbeatReply,
  KeyHandOver,
} from "./messages/index.ts";
import { Metrics } from "./metrics/index.ts";
import { PlacementController } from "./placement/index.ts";
import { RequestController, RequestQuarantine } from "./requests/index.ts";
import { type BalancerName, createBalancer } from "./routing/index.ts";

/** How long a stopping entry keeps refusing requests with other entries' addresses, so that callers learn them. */
export const STOP_REFUSAL_MS = 1_000;
/** How long a stopping entry waits for answers to its hand-overs before it ends. */
export const HAND_OVER_TIMEOUT_MS = 2_000;

/** Options of a core. */
export interface CoreOptions {
  readonly self: EntryIdentity;
  readonly random: Randomness;
  readonly balancer?: BalancerName;
}

/** Makes the decisions of one entry. */
export class Core {
  readonly board: Blackboard;
  readonly explanations = new DecisionLog();
  readonly metrics = new Metrics();
  readonly #lifecycle: LifecycleController;
  readonly #configuration: ConfigurationController;
  readonly #membership: MembershipController;
  readonly #endpoints: EndpointController;
  readonly #actions: ActionController;
  readonly #requests: RequestController;
  readonly #quarantine: RequestQuarantine;
  readonly #placement: PlacementController;
  readonly #clock: StallAdjustedClock;
  #effects: Effect[] = [];
  #stopAt: Instant | undefined;
  #handOverAt: Instant | undefined;
  #pendingHandOvers = 0;

  constructor(
    { self, random, balancer = "estimate" }: CoreOptions,
    now: Instant,
  ) {
    const emit = (effect: Effect): void => {
      this.#effects.push(effect);
    };
    this.#clock = new StallAdjustedClock(now);
    const lifecycle = createLifecycleSection(now);
    const configuration = createConfigurationView();
    const membership = createMembershipSection();
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
      clock: this.#clock,
      now,
    });
    this.#actions = new ActionController(board, { emit, now });
    const onLeaving = this.#membership.announceLeavingEndpoint.bind(
      this.#membership,
    );
    this.#endpoints = new EndpointController(board, {
      emit,
      random,
      now,
      onLeaving,
    });
    this.#quarantine = new RequestQuarantine(board, {
      emit,
      clock: this.#clock,
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

  /** Handles one event and returns the resulting effects, in order. */
  handle(event: CoreEvent, now: Instant): Effect[] {
    this.#recordLoop(now);
    this.#apply(event, now);
    return this.#takeEffects();
  }

  /** Answers a peer's heartbeat. The resulting effects are returned by the next call of `handle`. */
  answerHeartbeat(heartbeat: Heartbeat, now: Instant): HeartbeatReply {
    this.#recordLoop(now);
    const reply = this.#membership.receive(heartbeat, now);
    heartbeat.leaving.forEach(({ endpoint }) =>
      this.#endpoints.markLeaving(endpoint, "peer", now)
    );
    this.#configuration.handleHeartbeat(now);
    this.#configuration.handlePeerRejection(heartbeat.rejected, now);
    return reply;
  }

  /** Answers a peer that requests the operators' configuration. */
  answerConfiguration(have: Revision): ConfigurationCopy | undefined {
    return this.#configuration.createCopyFor(have);
  }

  /** Takes over a stopping peer's keys. Returns whether they were accepted. */
  answerHandOver(handOver: KeyHandOver, now: Instant): boolean {
    this.#recordLoop(now);
    const taken = this.#actions.takeOver(handOver, now);
    if (taken) {
      this.#membership.announce(now);
    }
    return taken;
  }

  /** Returns the token from which callers make idempotency keys. */
  ownerToken(now: Instant): string {
    return this.#actions.ownerToken(now);
  }

  /** Informs the controllers of a pause before they make decisions after it. */
  #recordLoop(now: Instant): void {
    this.#clock.recordTurn(now);
    this.#lifecycle.recordTurn(now);
    this.#configuration.handleWake(now);
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
        return this.#configuration.handleText(event.revision, event.text, now);
      case "configurationUnchanged":
        return this.#configuration.handleUnchanged(now);
      case "configurationFailed":
        return this.#configuration.handleReadFailure(now);
      case "configurationCopied":
        return this.#configuration.handlePeerCopy(event, now);
      case "vmsListed":
        this.#membership.receiveVmList(event.vms);
        return this.#endpoints.applyVmList(event.vms, now);
      case "vmsUnchanged":
      case "vmListFailed":
        return this.#endpoints.keepVmList(now);
      case "heartbeatReply":
        return this.#applyHeartbeatReply(event.reply, now);
      case "peerRefused":
        return this.#membership.recordRefusedConnection(event.url);
      case "outcomeCopy":
        return this.#actions.keepCopy(event.copy, now);
      case "handOverDone":
        return this.#handOverEnded();
      case "quarantineNews":
        return this.#quarantine.learn(event.news, now);
      case "load":
        this.#quarantine.endpointResponded(event.endpoint, now);
        return this.#endpoints.applyLoadReport(
          event.endpoint,
          event.report,
          now,
        );
      case "loadFailed":
        this.#quarantine.loadPollFailed(event.endpoint);
        return this.#endpoints.markSuspect(event.endpoint, now);
      case "orderDone":
        return this.#placement.noteOrderAnswer(event.endpoint, event.accepted);
      default:
        return this.#applyRequest(event, now);
    }
  }

  #applyRequest(event: CoreEvent, now: Instant): void {
    switch (event.kind) {
      case "request":
        return this.#requests.receive(event.head, now);
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

  #applyHeartbeatReply(reply: HeartbeatReply, now: Instant): void {
    this.#membership.receiveReply(reply, now);
    reply.leaving.forEach(({ endpoint }) =>
      this.#endpoints.markLeaving(endpoint, "peer", now)
    );
    this.#configuration.handleHeartbeat(now);
    this.#configuration.handlePeerRejection(reply.rejected, now);
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

  /** Continues a stop, which ends when no request is active and the successor has answered, or after a timeout. */
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
    if (this.#requests.active > 0 || now - this.#stopAt < STOP_REFUSAL_MS) {
      return;
    }
    this.#handOverAt = now;
    this.#pendingHandOvers = this.#actions.handOver(now);
    this.#membership.announce(now);
    if (this.#pendingHandOvers === 0) {
      this.#finishStop();
    }
  }

  #handOverEnded(): void {
    this.#pendingHandOvers--;
    if (this.#pendingHandOvers === 0) {
      this.#finishStop();
    }
  }

  #finishStop(): void {
    if (this.board.lifecycle.phase === "stopping") {
      this.#lifecycle.finish();
    }
  }
}
