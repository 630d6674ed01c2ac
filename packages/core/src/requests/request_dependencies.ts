/**
 * Dependencies and time limits of request handling.
 *
 * @module
 */
import type { ActionController } from "../actions/index.ts";
import type { EndpointController } from "../endpoints/index.ts";
import type { DecisionLog } from "../explain/index.ts";
import type { Emit } from "../messages/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { Balancer } from "../routing/index.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";

/** How long a request waits for the configuration in force to be confirmed. */
export const CONFIRMATION_TIMEOUT_MS = 2_000;
/** How long an action may run past its deadline before its answer counts as lost. */
export const ACTION_GRACE_MS = 30_000;

/** Dependencies of `RequestController`. */
export interface RequestDependencies {
  readonly emit: Emit;
  readonly actions: ActionController;
  readonly endpoints: EndpointController;
  readonly balancer: Balancer;
  readonly explanations: DecisionLog;
  readonly metrics: Metrics;
  readonly quarantine: RequestQuarantine;
}
