/**
 * Admission: decisions that are made from the request line and headers, before the body is read.
 *
 * @module
 */
import { type KeyOwner, parseKey } from "../actions/index.ts";
import type { Blackboard } from "../blackboard/index.ts";
import {
  after,
  type Instant,
  milliseconds,
  type ServiceId,
} from "../ids/index.ts";
import type { RequestHead } from "../messages/index.ts";
import type {
  ConfiguredCustomer,
  Deployment,
  RequestClass,
  Service,
} from "../text/index.ts";
import {
  createRefusal,
  NOT_RUN,
  type Refusal,
  type RefusalReason,
} from "../verdict/index.ts";
import { type Admission, isRepeatable } from "./active_request.ts";
import { otherEntries } from "./entry_list.ts";

/** Longest deadline that a caller may ask for. */
export const MAX_DEADLINE_MS = 3_600_000;
/** Retry time for an entry that has just started, or a service whose dependency is down. */
const NOT_READY_RETRY_MS = 1_000;

/** Either the admitted request or the refusal. */
export type AdmissionResult =
  | { readonly ok: true; readonly admission: Admission }
  | { readonly ok: false; readonly refusal: Refusal };

type Refuse = (
  reason: RefusalReason,
  detail: string,
  options?: Partial<Refusal>,
) => AdmissionResult;

const refuse: Refuse = (reason, detail, options = {}) => ({
  ok: false,
  refusal: createRefusal(reason, { detail, verdict: NOT_RUN, ...options }),
});

/**
 * Admits or refuses a request by its head. The verdict of a refusal covers this send only. Earlier sends with
 * the same key are taken into account later.
 */
export function admit(
  board: Blackboard,
  head: RequestHead,
  now: Instant,
): AdmissionResult {
  const { deployment } = board.configuration;
  if (board.lifecycle.phase === "starting" || deployment === undefined) {
    return refuse(
      "not_ready",
      "The entry holds no accepted configuration yet",
      {
        retryAfter: milliseconds(NOT_READY_RETRY_MS),
        goTo: otherEntries(board, board.self.region),
      },
    );
  }
  if (head.hops.includes(board.self.incarnation)) {
    return refuse("loop", "The request already went through this entry");
  }
  const customer = head.tokenDigest === undefined
    ? undefined
    : deployment.customerByDigest.get(head.tokenDigest);
  if (customer === undefined) {
    return refuse("unknown_customer", "No customer has this token");
  }
  return admitCustomer(board, { head, customer, deployment }, now);
}

function admitCustomer(
  board: Blackboard,
  { head, customer, deployment }: {
    head: RequestHead;
    customer: ConfiguredCustomer;
    deployment: Deployment;
  },
  now: Instant,
): AdmissionResult {
  const { self } = board;
  /*
   * A home-bound request at an entry of another region must be refused with its body unread: reading the
   * body would already take the data out of the home region. Nothing would reveal such a mistake, so the
   * decision needs the head alone and comes before all others about the request.
   */
  if (customer.bound && customer.home !== self.region) {
    return refuse(
      "wrong_region",
      `Requests of this customer are served in region "${customer.home}" only`,
      {
        goTo: otherEntries(board, customer.home),
      },
    );
  }
  const service = deployment.services.get(head.service as ServiceId);
  if (service === undefined) {
    return refuse("unknown_service", "No service has this name");
  }
  if (customer.bound && !service.regions.includes(self.region)) {
    return refuse(
      "no_endpoint",
      `Service "${service.id}" is not offered in the customer's home region`,
    );
  }
  return admitService(board, { head, customer, service }, now);
}

function admitService(
  board: Blackboard,
  { head, customer, service }: {
    head: RequestHead;
    customer: ConfiguredCustomer;
    service: Service;
  },
  now: Instant,
): AdmissionResult {
  const requestClass =
    (head.requestClass ?? service.defaultClass) as RequestClass;
  if (!customer.classes.includes(requestClass)) {
    return refuse("invalid_request", "The customer has no such class", {});
  }
  const timeout = head.deadline ?? service.deadline;
  if (!Number.isFinite(timeout) || timeout > MAX_DEADLINE_MS) {
    return refuse(
      "invalid_request",
      `A deadline is a number of milliseconds, at most ${MAX_DEADLINE_MS}`,
    );
  }
  if (timeout <= 0) {
    return refuse("deadline", "No time was left when the request came");
  }
  const keyOwner = parseKeyOwner(head, service);
  if (typeof keyOwner === "string") {
    const detail = keyOwner === "key_required"
      ? "The service may not repeat calls: get an owner token by GET /v1/entries and send Idempotency-Key"
      : "An Idempotency-Key is an owner token of GET /v1/entries, a dot and 8 to 64 random characters";
    return refuse(keyOwner, detail);
  }
  const admission = {
    head,
    customer,
    service,
    requestClass,
    keyOwner,
    arrivedAt: now,
    deadlineAt: after(now, timeout),
  };
  const unavailable = service.dependsOn.find((dependency) =>
    !hasLiveEndpoint(board, dependency)
  );
  // The outcome of a keyed call's earlier send may be known, so a missing dependency does not refuse it here.
  if (unavailable !== undefined && keyOwner === undefined) {
    return refuse(
      "dependency_down",
      `Service "${unavailable}" has no live endpoint, and "${service.id}" depends on it`,
      {
        retryAfter: milliseconds(NOT_READY_RETRY_MS),
      },
    );
  }
  return { ok: true, admission };
}

function parseKeyOwner(
  head: RequestHead,
  service: Service,
): KeyOwner | undefined | "key_required" | "key_invalid" {
  if (isRepeatable(service)) {
    return undefined;
  }
  if (head.key === undefined) {
    return "key_required";
  }
  return parseKey(head.key) ?? "key_invalid";
}

/** Whether a service has a live endpoint that is not leaving. */
export function hasLiveEndpoint(
  board: Blackboard,
  service: ServiceId,
): boolean {
  return board.endpoints.forService(service).some((endpoint) =>
    endpoint.state === "live" && endpoint.leaving === undefined
  );
}
