/**
 * Final answers, and the only place where a verdict is told to a caller.
 *
 * @module
 */
import { type ActionController, parseKey } from "../actions/index.ts";
import type { Blackboard } from "../blackboard/index.ts";
import type { Explanations } from "../explain/index.ts";
import type { Instant, ServiceId } from "../ids/index.ts";
import {
  type Emit,
  type FinalAnswer,
  MAX_STORED_ANSWER_BYTES,
  type Outcome,
  type RequestHead,
} from "../messages/index.ts";
import type { Metrics } from "../metrics/index.ts";
import {
  MAY_HAVE_RUN_OPEN,
  MAY_HAVE_RUN_SETTLED,
  NOT_RUN,
  RAN,
  type Refusal,
  refusal,
  type RefusalReason,
  type Verdict,
} from "../verdict/index.ts";
import { type ActiveRequest, isRepeatable } from "./active_request.ts";
import type { RequestTable } from "./request_table.ts";

const UNKEPT_DETAIL = "The call ran, and its answer was too large to keep";

/** What a refusal says besides its reason. Without a verdict, the attempts decide. */
export interface RefusalDetail
  extends Partial<Pick<Refusal, "retryAfter" | "goTo" | "verdict">> {
  readonly detail: string;
  readonly now: Instant;
}

/** What answering works with. */
export interface AnswerDependencies {
  readonly emit: Emit;
  readonly actions: ActionController;
  readonly explanations: Explanations;
  readonly metrics: Metrics;
  readonly table: RequestTable;
}

/** Ends requests. */
export class Answers {
  readonly #board: Blackboard;
  readonly #with: AnswerDependencies;

  constructor(board: Blackboard, dependencies: AnswerDependencies) {
    this.#board = board;
    this.#with = dependencies;
  }

  /**
   * Ends a request with a refusal. Removal from every queue and the refusal are one step on the one
   * thread, so a request that was told `not_run` cannot run later.
   */
  refuse(
    request: ActiveRequest,
    reason: RefusalReason,
    detail: RefusalDetail,
  ): void {
    const { now } = detail;
    const made = this.refusalOf(request, reason, detail);
    if (request.ownsAction) {
      this.#endAction(request, made, now);
    }
    this.finish(request, { kind: "refused", refusal: made }, now);
  }

  /** The refusal of a request as things stand. */
  refusalOf(
    request: ActiveRequest,
    reason: RefusalReason,
    { now, ...detail }: RefusalDetail,
  ): Refusal {
    const verdict = detail.verdict ?? this.#verdictOf(request, now);
    const thisSend = request.attempts.verdict();
    const differs = thisSend.kind !== verdict.kind;
    return refusal(reason, {
      ...detail,
      verdict,
      ...(differs ? { thisSend } : {}),
    });
  }

  /** Refuses from the head alone. For a key, an earlier send may have run, whatever this one did. */
  refuseHead(head: RequestHead, made: Refusal, now: Instant): void {
    const verdict = this.#keyVerdict(head, now);
    const told = verdict === undefined
      ? made
      : { ...made, verdict, thisSend: NOT_RUN };
    this.#with.explanations.note(head.id, now, {
      text: "Refused",
      reason: told.reason,
      verdict: told.verdict.kind,
    });
    this.#emit(head, { kind: "refused", refusal: told });
  }

  /** Gives a request its final answer, unless its caller has one or has gone, and forgets it. */
  finish(request: ActiveRequest, answer: FinalAnswer, now: Instant): void {
    this.#with.explanations.note(request.head.id, now, {
      text: "Answered",
      ...describe(answer),
    });
    if (!request.closed) {
      this.#emit(request.head, answer);
    }
    this.#with.table.remove(request);
  }

  /** Answers a caller now, while its action goes on. */
  answerEarly(request: ActiveRequest, made: Refusal, now: Instant): void {
    this.#with.explanations.note(request.head.id, now, {
      text: "Answered while the action runs on",
      reason: made.reason,
    });
    this.#emit(request.head, { kind: "refused", refusal: made });
    request.closed = true;
  }

  /** Ends a request that ran and whose answer is more than this entry holds: no endpoint would do better. */
  answerUnkept(request: ActiveRequest, now: Instant): void {
    this.settle(request, { kind: "ran_unkept" }, now);
    const made = this.refusalOf(request, "answer_not_kept", {
      detail: UNKEPT_DETAIL,
      verdict: RAN,
      now,
    });
    this.finish(request, { kind: "refused", refusal: made }, now);
  }

  /** Answers with what is known of a used key. */
  answerOutcome(request: ActiveRequest, outcome: Outcome, now: Instant): void {
    if (outcome.kind === "ran") {
      this.finish(request, {
        kind: "answered",
        answer: outcome.answer,
        verdict: RAN,
        replayed: true,
      }, now);
      return;
    }
    if (outcome.kind === "ran_unkept") {
      this.refuse(request, "answer_not_kept", {
        detail: UNKEPT_DETAIL,
        verdict: RAN,
        now,
      });
      return;
    }
    this.refuse(request, "endpoint_failed", {
      detail: "The endpoint's answer was lost, the call may have run",
      verdict: MAY_HAVE_RUN_SETTLED,
      now,
    });
  }

  /** Notes an action's outcome and answers every send that waits for it. */
  settle(request: ActiveRequest, outcome: Outcome, now: Instant): void {
    if (!request.ownsAction) {
      return;
    }
    this.#with.actions.settle(
      request.customer.id,
      request.keyOwner!.key,
      keepable(outcome),
    );
    this.#with.table.takeJoined(request).forEach((joined) =>
      this.answerOutcome(joined, outcome, now)
    );
  }

  #endAction(request: ActiveRequest, made: Refusal, now: Instant): void {
    if (request.attempts.verdict().kind !== "not_run") {
      this.settle(request, { kind: "unknown" }, now);
      return;
    }
    this.#with.actions.release(request.customer.id, request.keyOwner!.key);
    for (const joined of this.#with.table.takeJoined(request)) {
      this.finish(joined, { kind: "refused", refusal: made }, now);
    }
  }

  /** What a request's attempts, and for a key its other sends, allow to be said. */
  #verdictOf(request: ActiveRequest, now: Instant): Verdict {
    const verdict = request.attempts.verdict();
    const { keyOwner, ownsAction } = request;
    if (verdict.kind === "may_have_run") {
      return keyOwner === undefined || ownsAction
        ? MAY_HAVE_RUN_SETTLED
        : MAY_HAVE_RUN_OPEN;
    }
    if (keyOwner === undefined || ownsAction || verdict.kind === "ran") {
      return verdict;
    }
    return this.#mayHaveRunBefore(request.head, now)
      ? MAY_HAVE_RUN_OPEN
      : NOT_RUN;
  }

  #keyVerdict(head: RequestHead, now: Instant): Verdict | undefined {
    return this.#mayHaveRunBefore(head, now) ? MAY_HAVE_RUN_OPEN : undefined;
  }

  /** Whether another send of the request's key may have run, as far as this entry can tell. */
  #mayHaveRunBefore(head: RequestHead, now: Instant): boolean {
    const { deployment } = this.#board.configuration;
    const service = deployment?.services.get(head.service as ServiceId);
    const owner = head.key === undefined ? undefined : parseKey(head.key);
    if (
      owner === undefined || (service !== undefined && isRepeatable(service))
    ) {
      return false;
    }
    const customer = head.tokenDigest === undefined
      ? undefined
      : deployment?.customerByDigest.get(head.tokenDigest);
    if (customer === undefined) {
      return true;
    }
    const standing = this.#with.actions.standing(customer.id, owner, now).kind;
    return standing !== "unused" && standing !== "invalid";
  }

  #emit(head: RequestHead, answer: FinalAnswer): void {
    const verdict = answer.kind === "refused"
      ? answer.refusal.verdict
      : answer.verdict;
    this.#with.metrics.count("verdicts", verdict.kind);
    if (answer.kind === "refused") {
      this.#with.metrics.count("refusals", answer.refusal.reason);
    }
    this.#with.emit({ kind: "finish", request: head.id, answer });
  }
}

function keepable(outcome: Outcome): Outcome {
  const large = outcome.kind === "ran" &&
    Buffer.byteLength(outcome.answer.body, "base64") > MAX_STORED_ANSWER_BYTES;
  return large ? { kind: "ran_unkept" } : outcome;
}

function describe(answer: FinalAnswer): Record<string, unknown> {
  return answer.kind === "refused"
    ? { reason: answer.refusal.reason, verdict: answer.refusal.verdict.kind }
    : {
      status: answer.answer.status,
      verdict: answer.verdict.kind,
      replayed: answer.replayed,
    };
}
