/**
 * Final answers to callers. Verdicts are sent to callers from here only.
 *
 * @module
 */
import { type ActionController, parseKey } from "../actions/index.ts";
import type { Blackboard } from "../blackboard/index.ts";
import type { DecisionLog } from "../explain/index.ts";
import type { Instant, ServiceId } from "../ids/index.ts";
import {
  type ActionOutcome,
  type Emit,
  type FinalAnswer,
  MAX_STORED_ANSWER_BYTES,
  type RequestHead,
} from "../messages/index.ts";
import type { Metrics } from "../metrics/index.ts";
import {
  createRefusal,
  MAY_HAVE_RUN_OPEN,
  MAY_HAVE_RUN_SETTLED,
  NOT_RUN,
  RAN,
  type Refusal,
  type RefusalReason,
  type Verdict,
} from "../verdict/index.ts";
import { type ActiveRequest, isRepeatable } from "./active_request.ts";
import type { RequestTable } from "./request_table.ts";

const ANSWER_NOT_KEPT_DETAIL =
  "The call ran, and its answer was too large to keep";

/** Details of a refusal. Without a verdict, it is derived from the request's attempts. */
export interface RefusalDetail
  extends Partial<Pick<Refusal, "retryAfter" | "goTo" | "verdict">> {
  readonly detail: string;
  readonly now: Instant;
}

/** Dependencies of `AnswerSender`. */
export interface AnswerDependencies {
  readonly emit: Emit;
  readonly actions: ActionController;
  readonly explanations: DecisionLog;
  readonly metrics: Metrics;
  readonly table: RequestTable;
}

/** Sends final answers and removes the requests. */
export class AnswerSender {
  readonly #board: Blackboard;
  readonly #dependencies: AnswerDependencies;

  constructor(board: Blackboard, dependencies: AnswerDependencies) {
    this.#board = board;
    this.#dependencies = dependencies;
  }

  /**
   * Ends a request with a refusal. The request is refused and removed from all queues in one synchronous
   * step, so a request that was answered with `not_run` cannot run later.
   */
  refuse(
    request: ActiveRequest,
    reason: RefusalReason,
    detail: RefusalDetail,
  ): void {
    const { now } = detail;
    const refused = this.refusalOf(request, reason, detail);
    if (request.ownsAction) {
      this.#endAction(request, refused, now);
    }
    this.finish(request, { kind: "refused", refusal: refused }, now);
  }

  /** Returns the refusal of a request in its current state. */
  refusalOf(
    request: ActiveRequest,
    reason: RefusalReason,
    { now, ...detail }: RefusalDetail,
  ): Refusal {
    const verdict = detail.verdict ?? this.#verdictOf(request, now);
    const thisSend = request.attempts.verdict();
    const differs = thisSend.kind !== verdict.kind;
    return createRefusal(reason, {
      ...detail,
      verdict,
      ...(differs ? { thisSend } : {}),
    });
  }

  /** Refuses a request by its head alone. With a key, an earlier send may have run even though this one did not. */
  refuseHead(head: RequestHead, refused: Refusal, now: Instant): void {
    const verdict = this.#earlierSendVerdict(head, now);
    const finalRefusal = verdict === undefined
      ? refused
      : { ...refused, verdict, thisSend: NOT_RUN };
    this.#dependencies.explanations.record(head.id, now, {
      text: "Refused",
      reason: finalRefusal.reason,
      verdict: finalRefusal.verdict.kind,
    });
    this.#emit(head, { kind: "refused", refusal: finalRefusal });
  }

  /** Sends the final answer, unless the caller already has one or has disconnected, and removes the request. */
  finish(request: ActiveRequest, answer: FinalAnswer, now: Instant): void {
    this.#dependencies.explanations.record(request.head.id, now, {
      text: "Answered",
      ...describeAnswer(answer),
    });
    if (!request.callerDone) {
      this.#emit(request.head, answer);
    }
    this.#dependencies.table.remove(request);
  }

  /** Answers the caller now while its action continues to run. */
  answerEarly(request: ActiveRequest, refused: Refusal, now: Instant): void {
    this.#dependencies.explanations.record(request.head.id, now, {
      text: "Answered while the action runs on",
      reason: refused.reason,
    });
    this.#emit(request.head, { kind: "refused", refusal: refused });
    request.callerDone = true;
  }

  /**
   * Ends a request that ran and whose answer is larger than this entry can buffer. It is not repeated, since
   * another endpoint's answer would be as large.
   */
  answerOversize(request: ActiveRequest, now: Instant): void {
    this.recordOutcome(request, { kind: "ran_unkept" }, now);
    const refused = this.refusalOf(request, "answer_not_kept", {
      detail: ANSWER_NOT_KEPT_DETAIL,
      verdict: RAN,
      now,
    });
    this.finish(request, { kind: "refused", refusal: refused }, now);
  }

  /** Answers a request whose key was already used, with the outcome of the earlier send. */
  answerOutcome(
    request: ActiveRequest,
    outcome: ActionOutcome,
    now: Instant,
  ): void {
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
        detail: ANSWER_NOT_KEPT_DETAIL,
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

  /** Records an action's outcome and answers all sends that wait for it. */
  recordOutcome(
    request: ActiveRequest,
    outcome: ActionOutcome,
    now: Instant,
  ): void {
    if (!request.ownsAction) {
      return;
    }
    this.#dependencies.actions.recordOutcome(
      request.customer.id,
      request.keyOwner!.key,
      toStorableOutcome(outcome),
    );
    this.#dependencies.table.takeJoined(request).forEach((joined) =>
      this.answerOutcome(joined, outcome, now)
    );
  }

  #endAction(request: ActiveRequest, refused: Refusal, now: Instant): void {
    if (request.attempts.verdict().kind !== "not_run") {
      this.recordOutcome(request, { kind: "unknown" }, now);
      return;
    }
    this.#dependencies.actions.release(
      request.customer.id,
      request.keyOwner!.key,
    );
    for (const joined of this.#dependencies.table.takeJoined(request)) {
      this.finish(joined, { kind: "refused", refusal: refused }, now);
    }
  }

  /** Derives the verdict from a request's attempts and, with a key, from its other sends. */
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

  #earlierSendVerdict(head: RequestHead, now: Instant): Verdict | undefined {
    return this.#mayHaveRunBefore(head, now) ? MAY_HAVE_RUN_OPEN : undefined;
  }

  /** Whether another send with the request's key may have run, as far as this entry knows. */
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
    const status =
      this.#dependencies.actions.keyStatus(customer.id, owner, now).kind;
    return status !== "unused" && status !== "invalid";
  }

  #emit(head: RequestHead, answer: FinalAnswer): void {
    const verdict = answer.kind === "refused"
      ? answer.refusal.verdict
      : answer.verdict;
    this.#dependencies.metrics.count("verdicts", verdict.kind);
    if (answer.kind === "refused") {
      this.#dependencies.metrics.count("refusals", answer.refusal.reason);
    }
    this.#dependencies.emit({ kind: "finish", request: head.id, answer });
  }
}

function toStorableOutcome(outcome: ActionOutcome): ActionOutcome {
  const tooLarge = outcome.kind === "ran" &&
    Buffer.byteLength(outcome.answer.body, "base64") > MAX_STORED_ANSWER_BYTES;
  return tooLarge ? { kind: "ran_unkept" } : outcome;
}

function describeAnswer(answer: FinalAnswer): Record<string, unknown> {
  return answer.kind === "refused"
    ? { reason: answer.refusal.reason, verdict: answer.refusal.verdict.kind }
    : {
      status: answer.answer.status,
      verdict: answer.verdict.kind,
      replayed: answer.replayed,
    };
}
