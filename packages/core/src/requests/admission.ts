/**
 * Everything that is decided from the request line and headers, before any of the body is read.
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
  Deployment,
  HomedCustomer,
  RequestClass,
  Service,
} from "../text/index.ts";
import {
  NOT_RUN,
  type Refusal,
  refusal,
  type RefusalReason,
} from "../verdict/index.ts";
import { type Admission, isRepeatable } from "./active_request.ts";
import { otherEntries } from "./entry_list.ts";

/** Longest deadline that a caller may ask for. */
export const MAX_DEADLINE_MS = 3_600_000;
/** When to come back to an entry that has just started. */
const NOT_READY_RETRY_MS = 1_000;

/** Either a request to go on with or the refusal. */
export type AdmissionResult =
  | { readonly ok: true; readonly admission: Admission }
  | { readonly ok: false; readonly refusal: Refusal };

type Refuse = (
  reason: RefusalReason,
  detail: string,
  rest?: Partial<Refusal>,
) => AdmissionResult;

const refuse: Refuse = (reason, detail, rest = {}) => ({
  ok: false,
  refusal: refusal(reason, { detail, verdict: NOT_RUN, ...rest }),
});

/** Decides on a head. The verdict of its refusals is about this send; a key's history is added later. */
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
    customer: HomedCustomer;
    deployment: Deployment;
  },
  now: Instant,
): AdmissionResult {
  const { self } = board;
  /*
   * A home-bound request at an entry of another region must end here, with its body unread: reading
   * it would already have taken the data out of its home. One would notice by nothing at all, which
   * is why it is decided from the head alone and before anything else about the request.
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
    customer: HomedCustomer;
    service: Service;
  },
  now: Instant,
): AdmissionResult {
  const requestClass =
    (head.requestClass ?? service.defaultClass) as RequestClass;
  if (!customer.classes.includes(requestClass)) {
    return refuse("invalid_request", "The customer has no such class", {});
  }
  const time = head.deadline ?? service.deadline;
  if (!Number.isFinite(time) || time > MAX_DEADLINE_MS) {
    return refuse(
      "invalid_request",
      `A deadline is a number of milliseconds, at most ${MAX_DEADLINE_MS}`,
    );
  }
  if (time <= 0) {
    return refuse("deadline", "No time was left when the request came");
  }
  const keyOwner = readKey(head, service);
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
    deadlineAt: after(now, time),
  };
  const down = service.dependsOn.find((dependency) =>
    !hasLiveEndpoint(board, dependency)
  );
  // An action's earlier send may have an outcome to tell, so a dead dependency does not end it here.
  if (down !== undefined && keyOwner === undefined) {
    return refuse(
      "dependency_down",
      `Service "${down}" has no live endpoint, and "${service.id}" depends on it`,
      {
        retryAfter: milliseconds(NOT_READY_RETRY_MS),
      },
    );
  }
  return { ok: true, admission };
}

function readKey(
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

/** Whether a service has an endpoint that takes work. */
export function hasLiveEndpoint(
  board: Blackboard,
  service: ServiceId,
): boolean {
  return board.endpoints.of(service).some((endpoint) =>
    endpoint.state === "live" && endpoint.leaving === undefined
  );
}
