/**
 * Routes calls that must not be repeated, by the status of their idempotency key.
 *
 * @module
 */
import type { ActionController, KeyStatus } from "../actions/index.ts";
import type { Blackboard, Member } from "../blackboard/index.ts";
import type { DecisionLog } from "../explain/index.ts";
import type { Instant } from "../ids/index.ts";
import type { MemberRecord } from "../messages/index.ts";
import {
  MAY_HAVE_RUN_OPEN,
  MAY_HAVE_RUN_SETTLED,
  NOT_RUN,
} from "../verdict/index.ts";
import type { ActiveRequest } from "./active_request.ts";
import type { AnswerSender } from "./answer_sender.ts";
import type { RequestTable } from "./request_table.ts";
import { DEFAULT_RETRY_MS, type Router } from "./router.ts";

/** Maximum number of peers asked about one key: its owner, and one that may keep a copy of the outcome. */
const MAX_PEERS_ASKED = 2;

/** Dependencies of `KeyRouter`. */
export interface KeyRouterDependencies {
  readonly actions: ActionController;
  readonly answers: AnswerSender;
  readonly explanations: DecisionLog;
  readonly router: Router;
  readonly table: RequestTable;
}

/** Starts, joins, replays, forwards or refuses calls with an idempotency key. */
export class KeyRouter {
  readonly #board: Blackboard;
  readonly #dependencies: KeyRouterDependencies;

  constructor(board: Blackboard, dependencies: KeyRouterDependencies) {
    this.#board = board;
    this.#dependencies = dependencies;
  }

  /** Routes a request. One without a key, or one whose action has already started here, needs no key lookup. */
  route(request: ActiveRequest, now: Instant): void {
    if (request.keyOwner === undefined || request.ownsAction) {
      this.#dependencies.router.route(request, now);
      return;
    }
    const status = this.#dependencies.actions.keyStatus(
      request.customer.id,
      request.keyOwner,
      now,
    );
    this.#dependencies.explanations.record(request.head.id, now, {
      text: "Looked up the key",
      standing: status.kind,
    });
    this.#routeByStatus(request, status, now);
  }

  #routeByStatus(
    request: ActiveRequest,
    status: KeyStatus,
    now: Instant,
  ): void {
    const { answers } = this.#dependencies;
    switch (status.kind) {
      case "unused":
        this.#beginAction(request, now);
        return;
      case "running":
      case "known":
        this.#useEarlierSend(request, status, now);
        return;
      case "elsewhere":
        this.#forwardToOwner(request, status.member.record, now);
        return;
      case "perhaps_kept":
        this.#askKeeper(request, status, now);
        return;
      case "unreachable":
        this.#refuseUnreachable(request, now);
        return;
      case "expired": {
        const detail = "The key's epoch is over, it never runs again";
        answers.refuse(request, "key_expired", {
          detail,
          verdict: MAY_HAVE_RUN_SETTLED,
          now,
        });
        return;
      }
      case "invalid": {
        const detail = "The entry never gave out this owner token";
        answers.refuse(request, "key_invalid", {
          detail,
          verdict: NOT_RUN,
          now,
        });
        return;
      }
      case "gone":
        this.#refuseGone(request, now);
    }
  }

  /** Routes a request whose owner or keeper was not reached: asks the keeper, unless it was asked before. */
  rerouteUnreached(request: ActiveRequest, now: Instant): void {
    const member = this.#dependencies.actions.keeperOf(request.keyOwner!);
    if (member !== undefined) {
      this.#askKeeper(request, { member, ownerGone: request.ownerGone }, now);
    } else {
      this.#refuseUnreachable(request, now);
    }
  }

  #beginAction(request: ActiveRequest, now: Instant): void {
    const { actions, answers, router } = this.#dependencies;
    const { self, lifecycle } = this.#board;
    if (lifecycle.phase !== "ready") {
      answers.refuse(request, "stopping", {
        detail: "The entry is stopping",
        verdict: NOT_RUN,
        now,
      });
      return;
    }
    if (actions.full) {
      const detail = "The entry keeps as many keys as it can";
      answers.refuse(request, "overloaded", {
        detail,
        verdict: NOT_RUN,
        retryAfter: self.epochLength,
        now,
      });
      return;
    }
    const { customer, keyOwner, facts } = request;
    actions.begin(customer.id, keyOwner!, {
      bodyDigest: facts!.digest,
      home: self.region,
    });
    request.ownsAction = true;
    router.route(request, now);
  }

  #useEarlierSend(
    request: ActiveRequest,
    status: Extract<KeyStatus, { bodyDigest: string }>,
    now: Instant,
  ): void {
    const { answers, table } = this.#dependencies;
    if (status.bodyDigest !== request.facts!.digest) {
      const detail =
        "The key was used with another body, this body never runs under it";
      answers.refuse(request, "key_conflict", {
        detail,
        verdict: MAY_HAVE_RUN_SETTLED,
        now,
      });
      return;
    }
    if (status.kind === "known") {
      answers.answerOutcome(request, status.outcome, now);
      return;
    }
    request.phase = "joined";
    request.phaseSince = now;
    table.join(request);
  }

  /**
   * Forwards a call to the owner of its key, by one hop only. A call that was already forwarded is refused:
   * two entries that each take the other for the owner would otherwise pass it back and forth until its deadline.
   */
  #forwardToOwner(
    request: ActiveRequest,
    owner: MemberRecord,
    now: Instant,
  ): void {
    const leavesHome = request.customer.bound &&
      owner.region !== this.#board.self.region;
    if (request.head.forwarded || leavesHome || request.attempts.size > 0) {
      this.#refuseUnreachable(request, now);
      return;
    }
    this.#dependencies.router.dispatch(request, {
      kind: "peer",
      incarnation: owner.incarnation,
      url: owner.url,
    }, now);
  }

  /**
   * Asks a peer that may have kept the outcome, since the owner is unreachable or has ended. A call that was
   * already forwarded is refused instead.
   */
  #askKeeper(
    request: ActiveRequest,
    { member, ownerGone }: { member: Member; ownerGone: boolean },
    now: Instant,
  ): void {
    request.ownerGone ||= ownerGone;
    const { incarnation, url } = member.record;
    if (
      !request.head.forwarded && request.attempts.size < MAX_PEERS_ASKED &&
      !request.tried.has(incarnation)
    ) {
      request.tried.add(incarnation);
      this.#dependencies.router.dispatch(
        request,
        { kind: "peer", incarnation, url },
        now,
      );
    } else if (request.ownerGone) {
      this.#refuseGone(request, now);
    } else {
      this.#refuseUnreachable(request, now);
    }
  }

  #refuseGone(request: ActiveRequest, now: Instant): void {
    const detail = "The key's owner has ended, nothing more can be learnt";
    this.#dependencies.answers.refuse(request, "owner_gone", {
      detail,
      verdict: MAY_HAVE_RUN_SETTLED,
      now,
    });
  }

  #refuseUnreachable(request: ActiveRequest, now: Instant): void {
    const detail =
      "The key's owner does not answer now, ask again with the same key";
    const verdict = MAY_HAVE_RUN_OPEN;
    this.#dependencies.answers.refuse(request, "owner_unreachable", {
      detail,
      verdict,
      retryAfter: DEFAULT_RETRY_MS,
      now,
    });
  }
}
