/**
 * Guards for the limits, back-off periods and departures that endpoints announce.
 *
 * @module
 */
import type { Guard } from "./guard.ts";

const TERMS = "packages/core/src/endpoint_terms";
const GATEWAY = "packages/core/src/gateway";
const BACKOFF = "routes: endpoints that rest";
const LEAVING = "routes: endpoints that leave";
const LIMITS = "routes: endpoints' limits";

/** Guards for what endpoints announce. */
export const TERMS_GUARDS: readonly Guard[] = [
  {
    point: LIMITS,
    name: "no request is written to a limited endpoint without a permit",
    file: `${GATEWAY}/call_controller.ts`,
    find: "this.#deps.terms.limits.authorizeSend(state.record, permit, now);",
    replace: "true;",
    also: [{
      file: `${GATEWAY}/local_placement.ts`,
      find: "limits.allows(best.state.record, now)",
      replace: "true",
    }],
  },
  {
    point: LIMITS,
    name: "permits are issued at the stated rate",
    file: `${TERMS}/permit_issuer.ts`,
    find: "const maxLevel = MIN_BURST_PERMITS + perSecond * BURST_S;",
    replace:
      "const maxLevel = 10 + MIN_BURST_PERMITS + perSecond * 4 * BURST_S;",
  },
  {
    point: LIMITS,
    name: "an issuer that takes over waits for the former one to know",
    file: `${TERMS}/permit_issuer.ts`,
    find: "this.#refilledAt = takesOver ? after(now, TAKEOVER_DELAY_MS) : now;",
    replace: "this.#refilledAt = now;",
    also: [{
      file: `${TERMS}/permit_issuer.ts`,
      find: "this.#level = takesOver ? 0 : MIN_BURST_PERMITS;",
      replace: "this.#level = MIN_BURST_PERMITS + 8;",
    }],
  },
  {
    point: LIMITS,
    name: "permits end after a while",
    file: `${TERMS}/endpoint_limits.ts`,
    find: "return now < until && perSecond",
    replace: "return until > 0 && now > 0 && perSecond",
  },
  {
    point: LIMITS,
    name: "an issuer that hears a part of its region issues that part",
    file: `${TERMS}/endpoint_limits.ts`,
    find: "permitIssuer.issue(known.perSecond * reachableFraction(), now)",
    replace:
      "permitIssuer.issue(known.perSecond * Math.ceil(reachableFraction()), now)",
  },
  {
    point: LIMITS,
    name: "an answer without a limit lifts it",
    file: `${TERMS}/endpoint_limits.ts`,
    find:
      "if (this.#known.update(update)) {\n      this.#logChange(update, before, {\n        ...answer,",
    replace:
      "if (perSecond !== undefined && this.#known.update(update)) {\n      this.#logChange(update, before, {\n        ...answer,",
  },
  {
    point: LIMITS,
    name: "a value that makes no sense leaves the limit in force",
    file: `${TERMS}/endpoint_limits.ts`,
    find: "return this.#ignored.note(record, { stated, answer, inForce });",
    replace: "stated = undefined;",
  },
  {
    point: LIMITS,
    name: "an endpoint is asked now and then, however low its limit is",
    file: `${TERMS}/endpoint_limits.ts`,
    find: "Math.max(MIN_LIMIT_PER_SECOND, stated.value)",
    replace: "stated.value",
  },
  {
    point: LEAVING,
    name: "an endpoint that says that it leaves is open to nothing more",
    file: `${GATEWAY}/endpoint_registry.ts`,
    find: 'return record.state === "ready" && !this.#isLeaving(record);',
    replace: 'return record.state === "ready";',
  },
  {
    point: LEAVING,
    name: "entries tell each other of endpoints that leave",
    file: `${TERMS}/endpoint_departures.ts`,
    find: "peers().forEach((peer) => this.#send(peer, [departure]));",
    replace: "peers();",
    also: [{
      file: `${TERMS}/endpoint_departures.ts`,
      find: "this.#send(peer, relevant.map(({ departure }) => departure));",
      replace: "",
    }],
  },
  {
    point: BACKOFF,
    name: "a region says for how long its endpoints take no requests",
    file: `${GATEWAY}/region_controller.ts`,
    find: "? this.#endpoints.closedFor(service, now)",
    replace: "? undefined",
  },
  {
    point: BACKOFF,
    name: "an endpoint that asked for rest gets none of what is placed",
    file: `${GATEWAY}/endpoint_registry.ts`,
    find: "this.backoffOf(state, now) === 0;",
    replace: "now > 0;",
    also: [{
      file: `${GATEWAY}/call_router.ts`,
      find: "endpoints.backoffOf(state, now) === 0 &&",
      replace: "",
    }],
  },
  {
    point: BACKOFF,
    name: "requests after a rest come one by one at first",
    file: `${TERMS}/endpoint_backoffs.ts`,
    find: "backoff.nextRequestAt = after(now, backoff.spacingMs);",
    replace: "backoff.nextRequestAt = now;",
  },
  {
    point: BACKOFF,
    name: "a refusal that says when to come back is no failure",
    file: `${GATEWAY}/call_recovery.ts`,
    find: 'deferred ? "deferred" : "failed"',
    replace: 'deferred ? "failed" : "failed"',
  },
  {
    point: BACKOFF,
    name: "where all rest a request is refused at once",
    file: `${GATEWAY}/call_placer.ts`,
    find: 'return reason === "resting" && wait > MAX_REST_WAIT_MS;',
    replace: 'return reason === "resting" && wait > 1_000_000;',
  },
  {
    point: BACKOFF,
    name: "a rest ends, whatever was stated",
    file: `${TERMS}/endpoint_backoffs.ts`,
    find: "Math.min(MAX_BACKOFF_MS, stated.value * MS_PER_SECOND)",
    replace: "stated.value * MS_PER_SECOND",
  },
];
