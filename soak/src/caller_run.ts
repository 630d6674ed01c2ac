/**
 * A caller of a wave, which sends a request and may resume a broken stream at other entries.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import { askStream, type SeenAnswer } from "@sassafrasstep/playground/bytes";
import type { CasePlan } from "./plan.ts";
import type { ObservedCall, ObservedRun } from "./promises.ts";

const OK = 200;
/**
 * Callers wait this long past their deadline. Every pause of an entry is over by then, so that they observe when
 * they were told of the end.
 */
const EXTRA_WAIT_MS = 8_000;
/** A caller with less time left than this does not retry. */
const MIN_REMAINING_MS = 4_000;

/** Sends the requests of one case and records the answers. */
export class CallerRun {
  readonly #plan: CasePlan;
  readonly #findRuns: (call: string) => ObservedRun[];

  constructor(plan: CasePlan, findRuns: (call: string) => ObservedRun[]) {
    this.#plan = plan;
    this.#findRuns = findRuns;
  }

  /** Sends the request and its retries to the entries at the given addresses. */
  async play(addresses: readonly string[]): Promise<ObservedCall[]> {
    const { call, entry, again: retryEntries, path } = this.#plan;
    const calls: ObservedCall[] = [];
    const retryUntil = performance.now() + this.#plan.timeMs -
      MIN_REMAINING_MS;
    let lastEventId = 0;
    let root: string | undefined;
    for (const [index, entryIndex] of [entry, ...retryEntries].entries()) {
      const callId = index === 0 ? call : `${call}-${index}`;
      const observedCall = await this.#send(addresses[entryIndex]!, {
        callId,
        after: lastEventId,
        root,
      });
      calls.push(observedCall);
      lastEventId = findLastEventId(observedCall);
      root ??= lastEventId > 0 ? callId : undefined;
      const { end, status } = observedCall.answer;
      const shouldRetry = end === "broken" && path === "resume" &&
        (status === OK || status === 0) && performance.now() < retryUntil;
      if (!shouldRetry) {
        break;
      }
    }
    return calls;
  }

  async #send(
    address: string,
    { callId, after, root }: {
      callId: string;
      after: number;
      /** The call that brought the first event. */
      root: string | undefined;
    },
  ): Promise<ObservedCall> {
    const { path, timeMs: deadlineMs } = this.#plan;
    const leaveController = new AbortController();
    const askedAt = performance.now();
    const answer: SeenAnswer = await askStream(address, {
      call: callId,
      path: `/${path}/${callId}`,
      time: deadlineMs,
      patience: EXTRA_WAIT_MS,
      after: after === 0 ? undefined : after,
      resumes: root,
      leave: leaveController.signal,
      onBytes: this.#createReadHandler(() => leaveController.abort()),
    });
    return {
      plan: this.#plan,
      call: callId,
      after,
      answer,
      address,
      askedAt,
      endedAt: performance.now(),
      runs: this.#findRuns(callId),
    };
  }

  /** Returns a handler for received bytes: a slow caller stops reading once, a leaving one disconnects. */
  #createReadHandler(
    leave: () => void,
  ): ((bytes: number) => Promise<void> | void) | undefined {
    const { caller } = this.#plan;
    if (caller.kind === "reads") {
      return undefined;
    }
    let bytes = 0;
    let triggered = false;
    return (chunkBytes) => {
      bytes += chunkBytes;
      if (triggered || bytes < caller.after) {
        return;
      }
      triggered = true;
      if (caller.kind === "leaves") {
        return leave();
      }
      return pause(caller.holdMs);
    };
  }
}

/** Returns the id of the last event that the caller received completely. */
function findLastEventId({ after, answer }: ObservedCall): number {
  const ids = [...answer.body.matchAll(/^id: (\d+)\r?\ndata: .*\r?\n\r?\n/gm)];
  return Number(ids.at(-1)?.[1] ?? after);
}
