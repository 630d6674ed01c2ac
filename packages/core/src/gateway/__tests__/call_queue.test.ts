import { describe, expect, it } from "vitest";
import type { Customer } from "../../customers/index.ts";
import {
  type CustomerId,
  FairShares,
  type Incarnation,
  instant,
  milliseconds,
  RegionDemand,
  type RequestId,
  type ServiceId,
  StallAdjustedClock,
} from "../../index.ts";
import type { Route } from "../../routes/index.ts";
import { Call } from "../call.ts";
import { CallQueue } from "../call_queue.ts";

function waiting(
  id: string,
  { at = 0, priority = 1, tokens = 3_500, uncachedTokens = tokens, customer }: {
    customer?: string;
    at?: number;
    priority?: number;
    tokens?: number;
    uncachedTokens?: number;
  } = {},
): Call {
  const route = { priority, objective: milliseconds(1_000) } as Route;
  const prompt = {
    model: "m",
    promptTokens: tokens,
    outputTokens: 1,
    outputHint: undefined,
    parts: [],
  };
  const call = new Call(
    { id: id as RequestId, prompt } as unknown as Call["head"],
    {
      route,
      customer: customer === undefined ? undefined : customerOf(customer),
      services: ["pool" as ServiceId],
      arrivedAt: instant(at),
      endsAt: instant(at + 10_000),
    },
  );
  call.uncachedTokens = uncachedTokens;
  return call;
}

function customerOf(name: string): Customer {
  return {
    id: name as CustomerId,
    keyDigests: [],
    rank: undefined,
    homes: [],
    limit: { unit: "tokens", perSecond: 35_000, burst: 35_000, plainTokens: 1 },
  };
}

function order(
  calls: readonly Call[],
  now: number,
  prefillFraction = 1,
): string[] {
  const queue = new CallQueue();
  calls.forEach((call) => queue.add(call));
  return queue.ordered(prefillFraction, instant(now)).map(({ head }) =>
    head.id
  );
}

describe("the order of waiting requests", () => {
  it("is by rank, then arrival", () => {
    const calls = [
      waiting("later", { at: 20 }),
      waiting("earlier", { at: 10 }),
      waiting("urgent", { at: 30, priority: 0 }),
    ];
    expect(order(calls, 100)).toEqual(["urgent", "earlier", "later"]);
  });

  /**
   * Guards against long requests that are sent when their objective is nearly over, and begin late. In an
   * overloaded queue, reading a prompt took a tenth of a second and the objective had less than that left. The
   * time to begin an answer was not counted when requests on time and late ones were told apart.
   */
  it("puts requests last that cannot begin in time, including the time to read their prompts", () => {
    const calls = [
      waiting("hopeless", { at: 0 }),
      waiting("in time", { at: 500 }),
    ];
    expect(order(calls, 800)).toEqual(["hopeless", "in time"]);
    expect(order(calls, 900)).toEqual(["in time", "hopeless"]);
    expect(order(calls, 900, 0.1)).toEqual(["hopeless", "in time"]);
  });

  /**
   * Guards against engines that read uncached prompts under overload, while requests with a cached prefix wait.
   * A costly request had arrived a moment earlier than a cheap one. As order of arrival alone decided, fewer
   * requests were served with the same amount of reading.
   */
  it("lets cheap requests overtake costly ones that arrived a little earlier", () => {
    const costly = waiting("costly", { at: 0 });
    const cheap = waiting("cheap", { at: 100, uncachedTokens: 700 });
    expect(order([costly, cheap], 200)).toEqual(["cheap", "costly"]);
    const late = waiting("late", { at: 400, uncachedTokens: 700 });
    expect(order([costly, late], 500)).toEqual(["costly", "late"]);
  });

  // Guards against the longest prompts being late, behind all others, before their turn.
  it("moves a prompt back by a part of its objective at most, however long it is", () => {
    const calls = [
      waiting("long", { at: 0, tokens: 15_000 }),
      waiting("earlier", { at: 190, tokens: 1, uncachedTokens: 0 }),
      waiting("later", { at: 210, tokens: 1, uncachedTokens: 0 }),
    ];
    expect(order(calls, 300)).toEqual(["earlier", "long", "later"]);
  });
});

describe("customers of one rank", () => {
  // A customer's burst of 40 questions, within its limit, was served before everything that arrived in the next
  // four seconds, so that it alone made the requests of the others late.
  it("do not wait for the whole burst of another customer", () => {
    const loud = Array.from(
      { length: 20 },
      (_, index) => waiting(`loud-${index}`, { at: index, customer: "loud" }),
    );
    const calm = waiting("calm", { at: 300, customer: "calm" });
    const found = order([...loud, calm], 350);
    expect(found.indexOf("calm")).toBeLessThan(5);
    expect(found[0]).toBe("loud-0");
  });

  it("are served in order of arrival if none sends a burst", () => {
    const calls = ["a", "b", "c"].map((name, index) =>
      waiting(name, { at: index * 10, customer: name })
    );
    expect(order(calls, 100)).toEqual(["a", "b", "c"]);
  });

  it("are ordered by rank first", () => {
    const urgent = waiting("urgent", { at: 90, priority: 0, customer: "loud" });
    const calm = waiting("calm", { at: 0, customer: "calm" });
    expect(order([calm, urgent], 100)).toEqual(["urgent", "calm"]);
  });
});

describe("customers that share a region's endpoints", () => {
  const SERVICE = "pool" as ServiceId;
  const LOUD = "loud" as CustomerId;
  const NOW = instant(1_000);

  /** A region in which one customer had most of what was placed within the last second. */
  function shared(isOn: boolean): FairShares {
    const demand = new RegionDemand(new StallAdjustedClock(instant(0)));
    demand.receive("b1" as Incarnation, {
      waiting: [{
        service: SERVICE,
        rank: 1,
        late: false,
        customer: LOUD,
        requests: 90,
        tokens: 90_000,
      }],
      placed: [
        { service: SERVICE, customer: LOUD, requests: 60, tokens: 60_000 },
      ],
    }, NOW);
    return new FairShares({
      demand,
      isOn: () => isOn,
      limitOf: () => undefined,
      placedHere: () => [],
    });
  }

  const CALLS = [
    waiting("loud", { at: 600, customer: LOUD }),
    waiting("calm", { at: 900, customer: "calm" }),
    waiting("urgent", { at: 950, priority: 0, customer: LOUD }),
    waiting("late", { at: -500, customer: "calm" }),
  ];

  function orderBy(shares: FairShares | undefined): string[] {
    const queue = new CallQueue(shares);
    CALLS.forEach((call) => queue.add(call));
    return queue.ordered(0, NOW).map(({ head }) => head.id);
  }

  it("are served by their shares, after lateness and rank", () => {
    expect(orderBy(shared(true))).toEqual(["urgent", "calm", "loud", "late"]);
  });

  it("are served in the order of the entry alone while the feature is off", () => {
    expect(orderBy(shared(false))).toEqual(orderBy(undefined));
    expect(orderBy(undefined)).toEqual(["urgent", "loud", "calm", "late"]);
  });
});

describe("tokens that are read before those of a request", () => {
  it("are those of its own rank and of more urgent ones", () => {
    const queue = new CallQueue();
    queue.add(waiting("a", { priority: 0, tokens: 100 }));
    queue.add(waiting("b", { priority: 1, tokens: 1_000 }));
    queue.add(waiting("c", { priority: 2, tokens: 10_000 }));
    expect([0, 1, 2].map((rank) => queue.tokensAhead(rank))).toEqual([
      100,
      1_100,
      11_100,
    ]);
  });
});
