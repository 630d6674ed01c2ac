/**
 * What endpoints ran, by the id of the request.
 *
 * @module
 */

/** How a run ended. */
export type RunEnd =
  /** The endpoint sent the whole answer. */
  | "answered"
  /** The endpoint broke the answer off, or sent none. */
  | "broken"
  /** The connection closed, and the endpoint dropped the request. */
  | "dropped";

/** One run of a request. */
export interface Run {
  readonly call: string;
  readonly endpoint: string;
  readonly service: string;
  /** The entry that sent the request. */
  readonly entry: string;
  /** Number of the last event that the run continues after, 0 from the beginning. */
  readonly after: number;
  /** Requests that its connection had carried before. */
  readonly earlierRequests: number;
  readonly behaviour: string;
  readonly startedAt: number;
  /** `undefined` while it runs. */
  endedAt?: number;
  end?: RunEnd;
  /** When the entry closed its connection, upon which an endpoint drops most runs. */
  closedAt?: number;
}

/** A request that reached an endpoint which could run it, and may have been refused. */
export interface Arrival {
  readonly call: string;
  readonly endpoint: string;
  /** The entry that sent the request. */
  readonly entry: string;
  readonly at: number;
}

/** Records runs of all endpoints. */
export class RunLedger {
  readonly runs: Run[] = [];
  readonly arrivals: Arrival[] = [];
  readonly #byCall = new Map<string, Run[]>();

  begin(run: Run): void {
    this.runs.push(run);
    const known = this.#byCall.get(run.call) ?? [];
    known.push(run);
    this.#byCall.set(run.call, known);
  }

  /** Runs of a request in the order in which they began. */
  of(call: string): readonly Run[] {
    return this.#byCall.get(call) ?? [];
  }
}

/** Ends a run unless it has ended. */
export function endRun(run: Run, end: RunEnd, now: number): void {
  run.end ??= end;
  run.endedAt ??= now;
}

/** Index of the endpoint's place, from the id of the process. */
export function indexOfEndpoint({ endpoint }: Pick<Run, "endpoint">): number {
  return Number(endpoint.split("-")[1]) - 1;
}
