/**
 * Callers of a wave: they send a request again only where they were told that it had not run, or where it may repeat.
 *
 * @module
 */
import { Agent, request } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { HEADERS } from "@sassafrasstep/platform";
import {
  type ActionPlan,
  isResumable,
  isStream,
  mustRunOnce,
} from "./action_plan.ts";
import { KEYS } from "./key_plan.ts";
import { requestBody } from "./body_watch.ts";

/** What a caller saw of one of its requests. */
export interface ObservedAnswer {
  readonly plan: ActionPlan;
  readonly call: string;
  /** Entry that was asked. */
  readonly entry: number;
  /** 0 if no answer came. */
  readonly status: number;
  readonly body: string;
  readonly seal: string | undefined;
  readonly echoedCall: string | undefined;
  readonly retryAfterS: number | undefined;
  /** Number of the event after which the caller took its stream up, or 0. */
  readonly after: number;
  readonly end: "whole" | "broken" | "left" | "open";
  readonly askedAt: number;
  readonly endedAt: number;
}

/** Statuses that state that a request did not run and never will. */
export const PROMISE_STATUSES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);
const OK = 200;
/** Callers wait this long past their time, to see what becomes of their requests. */
const EXTRA_WAIT_MS = 9_000;
const MIN_RETRY_TIME_MS = 300;
const MAX_REQUESTS = 3;

/** Sends the requests of all callers. */
export class ActionCallers {
  readonly #addressOf: (entry: number) => string;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 16 });

  constructor(addressOf: (entry: number) => string) {
    this.#addressOf = addressOf;
  }

  /** Plays one caller; resolves with what it saw of each of its requests. */
  async play(plan: ActionPlan): Promise<ObservedAnswer[]> {
    const answers: ObservedAnswer[] = [];
    const endsAt = performance.now() + plan.timeMs;
    let resumed: { call: string; after: number } | undefined;
    let call = plan.id;
    for (let index = 0; index < MAX_REQUESTS; index++) {
      const answer = await this.#send(plan, {
        call,
        entry: index === 0 ? plan.entry : plan.nextEntry,
        timeMs: Math.round(endsAt - performance.now()),
        resumed,
      });
      answers.push(answer);
      const lastEvent = lastEventOf(answer);
      if (isResumable(plan.route) && lastEvent > 0) {
        resumed = { call: resumed?.call ?? call, after: lastEvent };
      }
      const wait = (answer.retryAfterS ?? 0) * 1_000;
      const left = endsAt - performance.now();
      if (
        !mayAskAgain(plan, answer) || wait > left / 3 ||
        left - wait < MIN_RETRY_TIME_MS
      ) {
        break;
      }
      if (!plan.keepsId || !PROMISE_STATUSES.has(answer.status)) {
        call = `${plan.id}-${index + 1}`;
      }
      await pause(wait);
    }
    return answers;
  }

  close(): void {
    this.#agent.destroy();
  }

  #send(
    plan: ActionPlan,
    { call, entry, timeMs, resumed }: {
      call: string;
      entry: number;
      timeMs: number;
      resumed: { call: string; after: number } | undefined;
    },
  ): Promise<ObservedAnswer> {
    const [host, port] = this.#addressOf(entry).split(":");
    const body = requestBody(call, plan.bodyBytes);
    const askedAt = performance.now();
    return new Promise((resolve) => {
      const parts: Buffer[] = [];
      let status = 0;
      let headers: NodeJS.Dict<string | string[]> = {};
      let isOver = false;
      const finish = (end: ObservedAnswer["end"]): void => {
        if (isOver) {
          return;
        }
        isOver = true;
        clearTimeout(patience);
        clearTimeout(leaving);
        const retryAfter = headers[HEADERS.retryAfter];
        resolve({
          plan,
          call,
          entry,
          status,
          body: Buffer.concat(parts).toString("latin1"),
          seal: headers[HEADERS.seal]?.toString(),
          echoedCall: headers[HEADERS.callId]?.toString(),
          retryAfterS: retryAfter === undefined
            ? undefined
            : Number(retryAfter),
          after: resumed?.after ?? 0,
          end,
          askedAt,
          endedAt: performance.now(),
        });
        if (end !== "whole") {
          outgoing.destroy();
        }
      };
      const outgoing = request({
        host,
        port: Number(port),
        path: `/${plan.route}/${call}`,
        method: "POST",
        agent: plan.keepsConnection ? this.#agent : false,
        headers: {
          host: "kiosk.example",
          [HEADERS.callId]: call,
          [HEADERS.timeLeft]: String(timeMs),
          ...(plan.key === undefined ? {} : { [HEADERS.key]: KEYS[plan.key] }),
          "content-length": body.length,
          ...(isStream(plan.route) ? { [HEADERS.tokenCounts]: "10,100" } : {}),
          ...(resumed === undefined ? {} : {
            [HEADERS.lastEventId]: String(resumed.after),
            [HEADERS.resumedCall]: resumed.call,
          }),
        },
      }, (answer) => {
        status = answer.statusCode!;
        headers = answer.headers;
        answer.on("data", (bytes: Buffer) => parts.push(bytes));
        answer.on("end", () => finish(answer.complete ? "whole" : "broken"));
        answer.on("error", () => finish("broken"));
      });
      outgoing.on("error", () => finish("broken"));
      outgoing.end(body);
      const patience = setTimeout(() => finish("open"), timeMs + EXTRA_WAIT_MS);
      const leaving = plan.leavesAfterMs === undefined
        ? undefined
        : setTimeout(() => finish("left"), plan.leavesAfterMs);
    });
  }
}

/** Name of the entry that a caller sent a request to. */
export function entryOf({ call, plan }: ObservedAnswer): string {
  return `entry-${1 + (call === plan.id ? plan.entry : plan.nextEntry)}`;
}

/** Number of the last event that the caller has received whole. */
function lastEventOf({ body, after }: ObservedAnswer): number {
  const ids = [...body.matchAll(/id: (\d+)\ndata: .*\n\n/g)];
  return Number(ids.at(-1)?.[1] ?? after);
}

function mayAskAgain(
  { route }: ActionPlan,
  { status, end }: ObservedAnswer,
): boolean {
  if (end === "left" || end === "open") {
    return false;
  }
  if (PROMISE_STATUSES.has(status)) {
    return true;
  }
  return !mustRunOnce(route) && (status !== OK || end === "broken");
}
