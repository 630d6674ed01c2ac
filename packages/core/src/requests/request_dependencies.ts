/**
 * What requests are worked on with, and how long some of them wait.
 *
 * @module
 */
import type { ActionController } from "../actions/index.ts";
import type { EndpointController } from "../endpoints/index.ts";
import type { Explanations } from "../explain/index.ts";
import type { Emit } from "../messages/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { Balancer } from "../routing/index.ts";
import type { RequestQuarantine } from "./request_quarantine.ts";

/** How long a request waits for the text in force to be confirmed. */
export const CONFIRMING_MS = 2_000;
/** How long past its deadline an action may take to end before its answer counts as lost. */
export const ACTION_GRACE_MS = 30_000;

/** What the controller works with. */
export interface RequestDependencies {
  readonly emit: Emit;
  readonly actions: ActionController;
  readonly endpoints: EndpointController;
  readonly balancer: Balancer;
  readonly explanations: Explanations;
  readonly metrics: Metrics;
  readonly quarantine: RequestQuarantine;
}
