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
} from "../retries/index.ts";
import type { Call } from "./call.ts";
import { LogThrottle } from "./log_throttle.ts";
import type { GatewayEmit } from "./messages.ts";

/** A retry that the budget has granted to a request. */
export interface GrantedRetry {
  readonly kind: RetryKind;
  readonly decision: RetryDecision;
  readonly at: Instant;
}

/** Dependencies of `CallRetries`. */
export interface RetryDependencies {
  readonly emit: GatewayEmit;
  readonly budget: RetryBudget;
  /** Number of entries that may be alive, including this one. */
  readonly entries: () => number;
}

/** Grants and records the retries of this entry's requests. */
export class CallRetries {
  readonly counts = new RetryCounts();
  readonly #deps: RetryDependencies;
  readonly #denials = new LogThrottle();

  constructor(deps: RetryDependencies) {
    this.#deps = deps;
  }

  /** Takes a retry for a request from the budget. Returns whether the request may be sent once more. */
  reserve(call: Call, kind: RetryKind, now: Instant): boolean {
    const [service] = call.services;
    const entries = this.#deps.entries();
    const decision = this.#deps.budget.spend(service!, { entries }, now);
    if (decision.granted) {
      call.retry = { kind, decision, at: now };
    } else {
      this.#recordDenial(call, { kind, decision, service: service! }, now);
    }
    return decision.granted;
  }

  /** Records that a request is sent to an endpoint of a service. Must be called before the request counts it. */
  recordSend(call: Call, service: ServiceId, now: Instant): void {
    if (call.possibleDeliveries === 0) {
      this.#deps.budget.noteFirstSend(service, now);
    }
    if (call.offered > 0 || call.possibleDeliveries > 0) {
      this.#recordRetry(call, service, now);
    }
    call.retry = undefined;
  }

  #recordRetry(call: Call, service: ServiceId, now: Instant): void {
    const { retry } = call;
    const isRelayed = call.offered === 0 && call.head.relay !== undefined;
    const kind = isRelayed ? "relayed" : retry?.kind ?? "unasked";
    this.counts.recordSent(kind);
    this.#log("Request is sent again.", call, {
      kind,
      service,
      waitedMs: retry && Math.round(now - retry.at),
      ...decisionFields(retry?.decision),
    });
  }

  #recordDenial(
    call: Call,
    { kind, decision, service }: {
      kind: RetryKind;
      decision: RetryDecision;
      service: ServiceId;
    },
    now: Instant,
  ): void {
    this.counts.recordDenied(kind);
    const denied = this.#denials.add(now);
    if (denied > 0) {
      this.#log("Retries are denied.", call, {
        kind,
        service,
        denied,
        ...decisionFields(decision),
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

function decisionFields(
  decision: RetryDecision | undefined,
): Record<string, unknown> {
  return decision === undefined ? {} : {
    left: Math.round(decision.left * 10) / 10,
    entries: decision.entries,
  };
}
