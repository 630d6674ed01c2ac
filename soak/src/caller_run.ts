/**
 * One caller of a wave: it asks, and may go on by itself at other entries.
 *
 * @module
 */
import { setTimeout as pause } from "node:timers/promises";
import {
  askStream,
  type RawRequest,
  type SeenAnswer,
} from "@sassafrasstep/playground/bytes";
import type { CasePlan } from "./plan.ts";
import type { SeenCall } from "./promises.ts";

const OK = 200;
/** Callers stay until each pause of an entry has passed, so that it shows when they were told of an end. */
const PATIENCE_MS = 8_000;
/** Less time than this is not worth another question. */
const LEAST_TIME_MS = 4_000;

/** Asks, and keeps what it sees. */
export class CallerRun {
  readonly #plan: CasePlan;
  readonly #runsOf: (call: string) => RawRequest[];

  constructor(plan: CasePlan, runsOf: (call: string) => RawRequest[]) {
    this.#plan = plan;
    this.#runsOf = runsOf;
  }

  /** Plays it at entries that are known by their addresses. */
  async play(addresses: readonly string[]): Promise<SeenCall[]> {
    const { call, entry, again, path } = this.#plan;
    const seen: SeenCall[] = [];
    const asksUntil = performance.now() + this.#plan.timeMs - LEAST_TIME_MS;
    let after = 0;
    for (const [index, place] of [entry, ...again].entries()) {
      const name = index === 0 ? call : `${call}-${index}`;
      const last = await this.#ask(addresses[place]!, { name, after });
      seen.push(last);
      after = lastEventOf(last);
      const { end, status } = last.answer;
      const goesOn = end === "broken" && path === "resume" &&
        (status === OK || status === 0) && performance.now() < asksUntil;
      if (!goesOn) {
        break;
      }
    }
    return seen;
  }

  async #ask(
    address: string,
    { name, after }: { name: string; after: number },
  ): Promise<SeenCall> {
    const { path, timeMs } = this.#plan;
    const leaving = new AbortController();
    const askedAt = performance.now();
    const answer: SeenAnswer = await askStream(address, {
      call: name,
      path: `/${path}/${name}`,
      time: timeMs,
      patience: PATIENCE_MS,
      after: after === 0 ? undefined : after,
      leave: leaving.signal,
      onBytes: this.#reading(() => leaving.abort()),
    });
    return {
      plan: this.#plan,
      call: name,
      after,
      answer,
      address,
      askedAt,
      endedAt: performance.now(),
      runs: this.#runsOf(name),
    };
  }

  /** How the caller reads: a slow one holds back once, and one may leave. */
  #reading(
    leave: () => void,
  ): ((bytes: number) => Promise<void> | void) | undefined {
    const { caller } = this.#plan;
    if (caller.kind === "reads") {
      return undefined;
    }
    let bytes = 0;
    let held = false;
    return (more) => {
      bytes += more;
      if (held || bytes < caller.after) {
        return;
      }
      held = true;
      if (caller.kind === "leaves") {
        return leave();
      }
      return pause(caller.holdMs);
    };
  }
}

/** Number of the last event that the caller has whole. */
function lastEventOf({ after, answer }: SeenCall): number {
  const ids = [...answer.body.matchAll(/^id: (\d+)\r?\ndata: .*\r?\n\r?\n/gm)];
  return Number(ids.at(-1)?.[1] ?? after);
}
