import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  type Incarnation,
  type Instant,
  instant,
  milliseconds,
  SeededRandomness,
  type ServiceId,
} from "../../index.ts";
import {
  divideSlack,
  RetryBudget,
  type RetryLoanMessage,
  RetryLoans,
} from "../index.ts";

const SERVICE = "s" as ServiceId;
const WINDOW_MS = 10_000;
const SLACK = 12;
const BOUNDS = {
  retryRatio: 0.2,
  retryWindow: milliseconds(WINDOW_MS),
  retrySlack: SLACK,
};
const NAMES = ["a", "b", "c"] as Incarnation[];
const LATENCY_MS = 5;

interface MessageInFlight {
  readonly at: number;
  readonly to: Incarnation;
  readonly message: RetryLoanMessage;
}

/** Three entries of one region whose messages are delivered after `LATENCY_MS`, unless they are lost. */
class Region {
  readonly spent: number[] = [];
  readonly #entries = new Map<
    Incarnation,
    { budget: RetryBudget; loans: RetryLoans }
  >();
  #inFlight: MessageInFlight[] = [];
  readonly #random: SeededRandomness;
  #now = 0;

  constructor(seed: number) {
    this.#random = new SeededRandomness(seed);
    NAMES.forEach((name) => this.start(name, instant(-60_000)));
  }

  /** Starts an entry's process anew. */
  start(name: Incarnation, now: Instant): void {
    const slackShare = (): ReturnType<typeof divideSlack> =>
      divideSlack({ regions: 1, entries: NAMES.length });
    const budget = new RetryBudget(BOUNDS, { roundsUpFrom: 1 }, now);
    const loans = new RetryLoans({
      self: name,
      budget,
      random: this.#random,
      slackShare,
      peers: () => NAMES.filter((other) => other !== name),
      send: (to, message) =>
        this.#inFlight.push({ at: this.#now + LATENCY_MS, to, message }),
    });
    this.#entries.set(name, { budget, loans });
  }

  advance(now: number, { loses = false } = {}): void {
    let due = this.#takeDue(now);
    while (due.length > 0) {
      for (const { at, to, message } of due) {
        this.#now = at;
        if (!loses) {
          this.#entries.get(to)!.loans.receive(message, instant(at));
        }
      }
      due = this.#takeDue(now);
    }
    this.#now = now;
  }

  /** Makes a retry if the entry has one left, and asks for a loan otherwise. */
  retry(name: Incarnation): boolean {
    const { budget, loans } = this.#entries.get(name)!;
    const share = divideSlack({ regions: 1, entries: NAMES.length });
    const { granted } = budget.spend(SERVICE, share, instant(this.#now));
    if (granted) {
      this.spent.push(this.#now);
    } else {
      loans.ask(SERVICE, instant(this.#now));
    }
    return granted;
  }

  #takeDue(now: number): MessageInFlight[] {
    const due = this.#inFlight.filter(({ at }) => at <= now);
    this.#inFlight = this.#inFlight.filter(({ at }) => at > now);
    return due;
  }
}

function mostInWindow(times: readonly number[]): number {
  return Math.max(
    0,
    ...times.map((from) =>
      times.filter((at) => at >= from && at < from + WINDOW_MS).length
    ),
  );
}

describe("loans between entries of a region", () => {
  // Guards against streams that break off at one entry while the parts of the others are not used.
  it("let one entry use what the others do not", () => {
    const region = new Region(1);
    let made = 0;
    for (let now = 0; now < 2_000; now += 20) {
      region.advance(now);
      made += region.retry("a" as Incarnation) ? 1 : 0;
    }
    const alone = new RetryBudget(
      BOUNDS,
      { roundsUpFrom: 1 },
      instant(-60_000),
    );
    const share = divideSlack({ regions: 1, entries: NAMES.length });
    expect(made).toBeGreaterThan(
      Math.floor(alone.left(SERVICE, share, instant(0))),
    );
  });

  // Guards against a loan that both entries spend, or that an entry spends again after it has started anew.
  it("never add to what the region may spend", () => {
    const steps = fc.array(
      fc.record({
        gap: fc.integer({ min: 0, max: 600 }),
        entry: fc.constantFrom(...NAMES),
        kind: fc.constantFrom("retry", "retry", "retry", "start", "lose"),
      }),
      { minLength: 20, maxLength: 150 },
    );
    fc.assert(fc.property(steps, fc.integer(), (plan, seed) => {
      const region = new Region(seed);
      let now = 0;
      for (const { gap, entry, kind } of plan) {
        now += gap;
        region.advance(now, { loses: kind === "lose" });
        if (kind === "start") {
          region.start(entry, instant(now));
        } else {
          region.retry(entry);
        }
      }
      expect(mostInWindow(region.spent)).toBeLessThanOrEqual(SLACK);
    }));
  });

  it("are void if they arrive long after they were asked for", () => {
    const budget = new RetryBudget(BOUNDS, { roundsUpFrom: 1 }, instant(0));
    const loans = new RetryLoans({
      self: "a" as Incarnation,
      budget,
      random: new SeededRandomness(1),
      slackShare: () => divideSlack({ regions: 1, entries: 3 }),
      peers: () => ["b" as Incarnation],
      send: () => {},
    });
    const loan = {
      kind: "loan",
      from: "b" as Incarnation,
      service: SERVICE,
      amount: 2,
    } as const;
    expect(loans.receive(loan, instant(100))).toBe(false);
    loans.ask(SERVICE, instant(200));
    expect(loans.receive(loan, instant(900))).toBe(false);
    loans.ask(SERVICE, instant(1_000));
    expect(loans.receive(loan, instant(1_100))).toBe(true);
  });

  it("are not asked for where there is no other entry", () => {
    const loans = new RetryLoans({
      self: "a" as Incarnation,
      budget: new RetryBudget(BOUNDS, { roundsUpFrom: 1 }, instant(0)),
      random: new SeededRandomness(1),
      slackShare: () => divideSlack({ regions: 1, entries: 1 }),
      peers: () => [],
      send: () => {},
    });
    expect(loans.ask(SERVICE, instant(0))).toBe(false);
  });
});
