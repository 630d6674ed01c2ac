import { HEADERS } from "@sassafrasstep/platform";
import fc from "fast-check";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { callPlatform, type PlatformAnswer, PlatformFleet } from "../index.ts";
import {
  bodyOf,
  DRAWN_ANSWER,
  type DrawnAnswer,
  DrawnEndpoint,
  SOUND_ANSWER,
} from "./drawn_answer.ts";

/** Statuses with which callers are told that their request did not run and never will. */
const PROMISE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const ENDPOINTS = 6;
const SERIES = Number(process.env.DRAWN_SERIES ?? 30);
const MAX_REQUESTS = 12;
const MAX_TIME_MS = Math.max(60_000, SERIES * 1_000);
const PATHS = ["once", "again"] as const;

interface Outcome {
  readonly call: string;
  readonly path: typeof PATHS[number];
  readonly drawn: DrawnAnswer;
  /** `undefined` if the connection ended without a whole answer. */
  readonly answer: PlatformAnswer | undefined;
}

// Guards against what no one has named: answers of endpoints in any combination of status, marks, framing and ends.
describe("drawn answers of endpoints", () => {
  const fleet = new PlatformFleet({ endpoints: [] });
  const endpoints: DrawnEndpoint[] = [];
  const exits: (number | null)[] = [];
  const sound = { sent: 0, served: 0 };
  let calls = 0;

  beforeAll(async () => {
    await fleet.prepare();
    for (let index = 0; index < ENDPOINTS; index++) {
      const endpoint = new DrawnEndpoint();
      endpoints.push(endpoint);
      fleet.publishEndpoint(`i-d${index}`, {
        service: "plain",
        address: await endpoint.listen(),
        state: "ready",
        sequence: 1,
      });
    }
    await fleet.start(1);
    fleet.entries[0]!.process.once("exit", (code) => exits.push(code));
  });
  afterAll(async () => {
    await fleet.close();
    await Promise.all(endpoints.map((endpoint) => endpoint.close()));
  });

  const send = async (
    drawn: DrawnAnswer,
    path: typeof PATHS[number],
  ): Promise<Outcome> => {
    const call = `drawn-${calls++}`;
    endpoints.forEach(({ answers }) => answers.set(call, drawn));
    const answer = await callPlatform(fleet.entries[0]!.callers, {
      path: `/${path}/x`,
      call,
    }).catch(() => undefined);
    return { call, path, drawn, answer };
  };

  const runsOf = (call: string): number =>
    endpoints.flatMap(({ runs }) => runs).filter((run) => run === call).length;

  const faultOf = ({ call, path, answer }: Outcome): string | undefined => {
    const runs = runsOf(call);
    if (path === "once" && runs > 1) {
      return `ran ${runs} times`;
    }
    if (answer === undefined) {
      return undefined;
    }
    const { status, headers, body } = answer;
    if (PROMISE_STATUSES.has(status) && runs > 0) {
      return `answered ${status} and ran`;
    }
    const isSuccess = status >= 200 && status < 300;
    const isOwn = headers[HEADERS.seal] === `seal-${call}` &&
      headers[HEADERS.callId] === call;
    const whole = status === 204 ? "" : bodyOf(call);
    return isSuccess && !(isOwn && body === whole)
      ? `answered ${status} with ${JSON.stringify(body)}`
      : undefined;
  };

  it("make no false promise, no second run and no answer of another", {
    timeout: 2 * MAX_TIME_MS,
  }, async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.tuple(DRAWN_ANSWER, fc.constantFrom(...PATHS)), {
          minLength: 1,
          maxLength: MAX_REQUESTS,
        }),
        async (requests) => {
          for (const [drawn, path] of requests) {
            const outcome = await send(drawn, path);
            if (drawn === SOUND_ANSWER) {
              sound.sent++;
              sound.served += outcome.answer?.status === 200 ? 1 : 0;
            }
            const fault = faultOf(outcome);
            expect(fault && { fault, ...outcome }).toBeUndefined();
          }
          expect(exits).toEqual([]);
        },
      ),
      {
        numRuns: SERIES,
        // A failing series is reported as far as it has been shrunk by then.
        interruptAfterTimeLimit: MAX_TIME_MS,
        markInterruptAsFailure: true,
      },
    );
  });

  it("do not keep the others from their callers", () => {
    expect(sound.sent).toBeGreaterThan(SERIES);
    expect(sound.served / sound.sent).toBeGreaterThanOrEqual(0.9);
  });
});
