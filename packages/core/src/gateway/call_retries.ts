/**
 * Retries of requests: asks the budget for each, and logs and counts those that are sent and those that are denied.
 *
 * @module
 */
import type { Instant, ServiceId } from "../ids/index.ts";
import {
  type RetryBudget,
  RetryCounts,
  type RetryDecision,
  type RetryKind,
  type RetryLoanMessage,
  type RetryLoans,
  type SlackShare,
} from "../retries/index.ts";
import type { Call, OpenAttempt } from "./call.ts";
import { LogThrottle } from "./log_throttle.ts";
import type { GatewayEmit } from "./messages.ts";

/** A retry that is sent later than this after it was granted is granted anew: it would count in another window. */
const GRANT_LIFETIME_MS = 500;

/** How long a request waits until this entry or others of its region have a retry left. */
const MAX_WAIT_MS = 120;
/** The same for a stream in progress: its caller sees a pause instead of a stream that breaks off. */
const MAX_STREAM_WAIT_MS = 400;

/** A retry that the budget has granted to a request. */
export interface GrantedRetry {
  readonly kind: RetryKind;
  readonly service: ServiceId;
  readonly decision: RetryDecision;
  readonly at: Instant;
}

/** What follows once it is decided whether a request may be sent once more. */
export interface RetryOutcome {
  readonly granted: (now: Instant) => void;
  readonly denied: (now: Instant) => void;
}

/** A request that waits until there is a retry for it. */
interface WaitingRetry {
  readonly kind: RetryKind;
  readonly since: Instant;
  readonly outcome: RetryOutcome;
}

/** Dependencies of `CallRetries`. */
export interface RetryDependencies {
  readonly emit: GatewayEmit;
  readonly budget: RetryBudget;
  readonly loans: RetryLoans;
  /** This entry's share of the fleet's slack. */
  readonly slackShare: (now: Instant) => SlackShare;
}

/** Grants and records the retries of this entry's requests. */
export class CallRetries {
  readonly counts = new RetryCounts();
  readonly #deps: RetryDependencies;
  readonly #denials = new LogThrottle();
  readonly #waiting = new Map<Call, WaitingRetry>();
  /** Requests whose last retry was denied, and its kind: a silent endpoint is checked on each tick. */
  readonly #lastDenied = new WeakMap<Call, RetryKind>();

  constructor(deps: RetryDependencies) {
    this.#deps = deps;
  }

  /** Counts a request that its caller sent to this entry. Relayed ones count where their callers sent them. */
  recordRequest({ head, services }: Call, now: Instant): void {
    if (head.relay === undefined) {
      this.#deps.budget.recordRequest(services[0]!, now);
    }
  }

  /** Takes a retry for a request from the budget. Returns whether the request may be sent once more. */
  reserve(call: Call, kind: RetryKind, now: Instant): boolean {
    const service = call.services[0]!;
    if (this.#reserve(call, { kind, service }, now)) {
      return true;
    }
    this.#deps.loans.ask(service, now);
    this.#recordDenial(call, { kind, service }, now);
    return false;
  }

  /** Takes a retry for a request that has no attempt in progress, and waits a moment for a loan if none is left. */
  obtain(
    call: Call,
    { kind, outcome }: { kind: RetryKind; outcome: RetryOutcome },
    now: Instant,
  ): void {
    const service = call.services[0]!;
    if (this.#reserve(call, { kind, service }, now)) {
      outcome.granted(now);
    } else if (this.#deps.loans.ask(service, now)) {
      this.#waiting.set(call, { kind, since: now, outcome });
    } else {
      this.#recordDenial(call, { kind, service }, now);
      outcome.denied(now);
    }
  }

  /** Handles a message about loans. */
  receiveLoan(message: RetryLoanMessage, now: Instant): void {
    if (this.#deps.loans.receive(message, now)) {
      this.#decideWaiting(now);
    }
  }

  /** Decides about requests that have waited for a loan for too long, and asks again for the others. */
  tick(now: Instant): void {
    if (this.#waiting.size > 0) {
      this.#decideWaiting(now);
    }
  }

  /**
   * Last check before a request is written to an endpoint. Every request to an endpoint passes through here, so that no
   * way to a second endpoint avoids the budget.
   */
  authorizeSend(call: Call, { state }: OpenAttempt, now: Instant): boolean {
    if (state === undefined || !isRetry(call) || isPrepaid(call, now)) {
      return true;
    }
    const { service } = state.record;
    const { retry } = call;
    const isValid = retry?.service === service &&
      now - retry.at <= GRANT_LIFETIME_MS;
    const kind = retry?.kind ?? "relayed";
    if (isValid || this.#reserve(call, { kind, service }, now)) {
      return true;
    }
    this.#recordDenial(call, { kind, service }, now);
    return false;
  }

  /** Records that a request is sent. Must be called before the request counts the attempt. */
  recordSend(call: Call, attempt: OpenAttempt, now: Instant): void {
    if (isRetry(call)) {
      this.#recordRetry(call, attempt, now);
    }
    attempt.retry = call.retry;
    call.retry = undefined;
  }

  /** Takes back the retry of an attempt that reached no endpoint, so that the request can use it elsewhere. */
  returnRetry(call: Call, { retry }: OpenAttempt): void {
    call.retry ??= retry;
  }

  /** Forgets a request that is over. */
  remove(call: Call): void {
    this.#waiting.delete(call);
    this.#release(call);
  }

  /** Gives the retry of a request back that was granted and not sent. */
  #release(call: Call): void {
    const { retry } = call;
    if (retry !== undefined) {
      this.#deps.budget.refund(retry.service, retry.at);
      call.retry = undefined;
    }
  }

  #decideWaiting(now: Instant): void {
    // Requests of a service wait in turn, so that only the first of them is weighed while none is left.
    const exhausted = new Set<ServiceId>();
    for (const [call, { kind, since, outcome }] of [...this.#waiting]) {
      const service = call.services[0]!;
      const isGranted = !exhausted.has(service) &&
        this.#reserve(call, { kind, service }, now);
      if (isGranted) {
        this.#waiting.delete(call);
        outcome.granted(now);
      } else if (now - since >= longestWait(call)) {
        this.#waiting.delete(call);
        this.#recordDenial(call, { kind, service }, now);
        outcome.denied(now);
      } else {
        exhausted.add(service);
        this.#deps.loans.ask(service, now);
      }
    }
  }

  #reserve(
    call: Call,
    { kind, service }: { kind: RetryKind; service: ServiceId },
    now: Instant,
  ): boolean {
    this.#release(call);
    const share = this.#deps.slackShare(now);
    const decision = this.#deps.budget.spend(service, share, now);
    if (decision.granted) {
      call.retry = { kind, service, decision, at: now };
    }
    return decision.granted;
  }

  #recordRetry(call: Call, { target }: OpenAttempt, now: Instant): void {
    const { retry, services, trace } = call;
    const kind = retry?.kind ?? "relayed";
    this.counts.recordSent(kind);
    this.#log("Request is sent again.", call, {
      kind,
      to: target.kind,
      ...trace.previousFields(),
      service: retry?.service ?? services[0],
      waitedMs: retry && Math.round(now - retry.at),
      ...decisionFields(retry?.decision),
    });
  }

  #recordDenial(
    call: Call,
    { kind, service }: Pick<GrantedRetry, "kind" | "service">,
    now: Instant,
  ): void {
    if (this.#lastDenied.get(call) === kind) {
      return;
    }
    this.#lastDenied.set(call, kind);
    this.counts.recordDenied(kind);
    const denied = this.#denials.add(now);
    if (denied > 0) {
      const { budget, slackShare } = this.#deps;
      const share = slackShare(now);
      const left = budget.left(service, share, now);
      this.#log("Retries are denied.", call, {
        kind,
        service,
        denied,
        ...decisionFields({ left, share }),
      });
    }
  }

  #log(
    text: string,
    { head, route }: Call,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.#deps.emit({
      kind: "log",
      part: "call",
      text,
      fields: { call: head.call, route: route.name, ...fields },
    });
  }
}

function longestWait({ phase }: Call): number {
  return phase === "answering" ? MAX_STREAM_WAIT_MS : MAX_WAIT_MS;
}

/** Whether an endpoint may have received a request already, here or by way of another entry. */
function isRetry({ offered, possibleDeliveries }: Call): boolean {
  return offered > 0 || possibleDeliveries > 0;
}

/** Whether the entry that relayed a request has taken the retry from its own budget just before. */
function isPrepaid(
  { offered, sentAttempts, arrivedAt }: Call,
  now: Instant,
): boolean {
  return offered === 0 && sentAttempts === 0 &&
    now - arrivedAt <= GRANT_LIFETIME_MS;
}

function decisionFields(
  decision: Pick<RetryDecision, "left" | "share"> | undefined,
): Record<string, unknown> {
  if (decision === undefined) {
    return {};
  }
  const { left, share } = decision;
  return {
    left: Math.round(left * 10) / 10,
    regions: share.regions,
    entries: share.entries,
  };
}
