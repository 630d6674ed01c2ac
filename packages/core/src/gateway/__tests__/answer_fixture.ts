import type { CallAnswer } from "../messages.ts";

/** Creates the head of an endpoint's stream; `fields` override the defaults. */
export function createAnswer(fields: Partial<CallAnswer> = {}): CallAnswer {
  return {
    status: 200,
    notRun: false,
    namesRequest: true,
    fromEndpoint: true,
    load: undefined,
    retryAfter: undefined,
    limit: undefined,
    leaving: false,
    rest: undefined,
    offered: undefined,
    events: true,
    reusedConnection: false,
    ...fields,
  };
}
