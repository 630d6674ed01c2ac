import { describe, expect, it } from "vitest";
import { instant, milliseconds, type ServiceId } from "../../index.ts";
import { divideSlack, RetryBudget } from "../../retries/index.ts";
import type { Call, OpenAttempt } from "../call.ts";
import { CallRetries } from "../call_retries.ts";
import { CallTrace } from "../call_trace.ts";
import type { GatewayEffect } from "../messages.ts";

const POOL = "pool" as ServiceId;
const SPARE = "spare" as ServiceId;
const SHARE = divideSlack({ regions: 1, entries: 1 });

function build(slack = 8): {
  retries: CallRetries;
  budget: RetryBudget;
  effects: GatewayEffect[];
} {
  const effects: GatewayEffect[] = [];
  const budget = new RetryBudget(
    {
      retryRatio: 0.2,
      retryWindow: milliseconds(10_000),
      retrySlack: slack,
    },
    { roundsUpFrom: 1 },
    instant(-60_000),
  );
  const retries = new CallRetries({
    emit: (effect) => effects.push(effect),
    budget,
    loans: { ask: () => false } as never,
    slackShare: () => SHARE,
  });
  return { retries, budget, effects };
}

/** A request that one endpoint has received, unless stated otherwise. */
function callOf(fields: Partial<Call> = {}): Call {
  return {
    head: { call: "c", relay: undefined },
    route: { name: "r" },
    services: [POOL, SPARE],
    offered: 1,
    possibleDeliveries: 1,
    sentAttempts: 1,
    arrivedAt: instant(0),
    retry: undefined,
    trace: new CallTrace(),
    ...fields,
  } as unknown as Call;
}

function attemptAt(service: ServiceId): OpenAttempt {
  return {
    state: { record: { service } },
    target: { kind: "endpoint" },
    retry: undefined,
  } as unknown as OpenAttempt;
}

describe("retries of a request", () => {
  // Guards against a way to a second endpoint that asks nobody.
  it("are checked where the request is written, whatever led there", () => {
    const { retries, effects } = build(0);
    const call = callOf();
    expect(retries.authorizeSend(call, attemptAt(POOL), instant(0))).toBe(
      false,
    );
    expect(retries.counts.denied.get("relayed")).toBe(1);
    expect(effects).toMatchObject([{ text: "Retries are denied." }]);
  });

  it("are not asked for by a request that no endpoint has received", () => {
    const { retries } = build(0);
    const call = callOf({ offered: 0, sentAttempts: 0 } as Partial<Call>);
    const first = { ...call, possibleDeliveries: 0 } as Call;
    expect(retries.authorizeSend(first, attemptAt(POOL), instant(0))).toBe(
      true,
    );
  });

  // Guards against retries that are granted in one window and sent in the next.
  it("are granted anew if they were held back", () => {
    const { retries, budget } = build();
    const call = callOf();
    expect(retries.reserve(call, "lost", instant(0))).toBe(true);
    const before = budget.left(POOL, SHARE, instant(3_000));
    expect(retries.authorizeSend(call, attemptAt(POOL), instant(3_000)))
      .toBe(true);
    expect(call.retry).toMatchObject({ kind: "lost", at: 3_000 });
    expect(budget.left(POOL, SHARE, instant(3_000))).toBeLessThan(before);
  });

  // Guards against a service that pays for the retries of another.
  it("are charged to the service that gets them", () => {
    const { retries, budget } = build();
    const call = callOf();
    const whole = budget.left(POOL, SHARE, instant(0));
    retries.reserve(call, "failed", instant(0));
    retries.authorizeSend(call, attemptAt(SPARE), instant(0));
    expect(budget.left(POOL, SHARE, instant(0))).toBe(whole);
    expect(budget.left(SPARE, SHARE, instant(0))).toBe(whole - 1);
  });

  it("are given back by a request that ends without them", () => {
    const { retries, budget } = build();
    const call = callOf();
    const whole = budget.left(POOL, SHARE, instant(0));
    retries.reserve(call, "rejected", instant(0));
    retries.remove(call);
    expect(budget.left(POOL, SHARE, instant(0))).toBe(whole);
  });

  it("are paid for by the entry that relays the request", () => {
    const { retries } = build(0);
    const relayed = callOf(
      {
        offered: 0,
        sentAttempts: 0,
        possibleDeliveries: 1,
      } as Partial<Call>,
    );
    const send = (at: number): boolean =>
      retries.authorizeSend(relayed, attemptAt(POOL), instant(at));
    expect(send(100)).toBe(true);
    expect(send(2_000)).toBe(false);
  });

  it("count as denied once while the same check is repeated", () => {
    const { retries } = build(0);
    const call = callOf();
    [0, 25, 50].forEach((at) => retries.reserve(call, "silent", instant(at)));
    expect(retries.counts.denied.get("silent")).toBe(1);
  });

  it("have a line with their kind and what the budget decided by", () => {
    const { retries, effects } = build();
    const call = callOf();
    const attempt = attemptAt(POOL);
    retries.reserve(call, "silent", instant(0));
    retries.recordSend(call, attempt, instant(0));
    expect(effects).toMatchObject([{
      text: "Request is sent again.",
      fields: { kind: "silent", service: POOL, regions: 1, entries: 1 },
    }]);
    expect(attempt.retry).toMatchObject({ kind: "silent" });
  });
});

describe("requests that retries are allowed for", () => {
  // Guards against one request that several entries count.
  it("count where their callers sent them", () => {
    const { retries, budget } = build(0);
    const relayed = callOf({ head: { relay: {} } } as Partial<Call>);
    for (let index = 0; index < 100; index++) {
      retries.recordRequest(relayed, instant(0));
    }
    expect(budget.left(POOL, SHARE, instant(1))).toBe(0);
    for (let index = 0; index < 100; index++) {
      retries.recordRequest(callOf(), instant(0));
    }
    expect(budget.left(POOL, SHARE, instant(1))).toBeGreaterThan(5);
  });
});
