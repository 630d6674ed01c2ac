import { describe, expect, it } from "vitest";
import {
  type CallerDigest,
  type ContentDigest,
  type EndpointId,
  instant,
  milliseconds,
  type ServiceId,
  type ZoneId,
} from "../../index.ts";
import { CrashLedger } from "../crash_ledger.ts";
import type { CrashReport } from "../quarantine_messages.ts";
import { ServedMemory } from "../served_memory.ts";

const BAD = "bad" as ContentDigest;

const QUICK_MS = 100;

function report(endpoint: string, ...contents: string[]): CrashReport {
  return {
    endpoint: endpoint as EndpointId,
    life: undefined,
    service: "pool" as ServiceId,
    zone: "z" as ZoneId,
    softwareVersion: "v1",
    age: milliseconds(0),
    others: 4,
    victims: contents.map((content) => ({
      content: content as ContentDigest,
      caller: "c" as CallerDigest,
      exposure: milliseconds(QUICK_MS),
      trial: false,
    })),
  };
}

describe("ends of endpoints", () => {
  it("count once, however many entries saw them", () => {
    const ledger = new CrashLedger();
    ledger.add(report("e1", "bad"), instant(0));
    ledger.add(report("e1", "bad", "a"), instant(10));
    expect(ledger.endsOf(BAD)).toBe(1);
  });

  it("count each where an endpoint ends again under its id", () => {
    const ledger = new CrashLedger();
    ledger.add(report("e1", "bad"), instant(0));
    ledger.add(report("e1", "bad"), instant(7_000));
    ledger.add(report("e1", "a"), instant(7_500));
    expect(ledger.endsOf(BAD)).toBe(2);
  });

  it("do not speak against a request that was answered after them", () => {
    const ledger = new CrashLedger();
    ledger.add(report("e1", "bad"), instant(0));
    ledger.add(report("e2", "bad"), instant(10));
    ledger.answered(BAD, instant(20));
    ledger.add(report("e3", "bad"), instant(30));
    expect(ledger.endsOf(BAD)).toBe(1);
  });

  describe("under a request with a copy from each of two entries", () => {
    const TIMES = [0, 30_000, 60_000];
    const culprits = (exposure: number): ContentDigest[] => {
      const ledger = new CrashLedger();
      TIMES.forEach((at, index) => {
        const seen = report(`e${index}`, "bad");
        const [victim] = seen.victims;
        const other = { ...victim!, exposure: milliseconds(exposure) };
        const trial = { ...seen, victims: [{ ...victim!, trial: true }] };
        ledger.add(trial, instant(at));
        ledger.add({ ...seen, victims: [other] }, instant(at));
      });
      return ledger.culprits(() => false).map(({ content }) => content);
    };

    it("speak against it where both had just come", () => {
      expect(culprits(QUICK_MS)).toEqual([BAD]);
    });

    it("do not where one had run there for long", () => {
      expect(culprits(20_000)).toEqual([]);
    });
  });

  it("speak against it for minutes and no longer", () => {
    const ledger = new CrashLedger();
    ledger.add(report("e1", "bad"), instant(0));
    ledger.add(report("e2", "bad"), instant(200_000));
    expect(ledger.endsOf(BAD)).toBe(2);
    ledger.add(report("e3", "other"), instant(301_000));
    expect(ledger.endsOf(BAD)).toBe(1);
  });

  it("are bounded, and what is at one end is", () => {
    const ledger = new CrashLedger();
    const many = Array.from({ length: 10_000 }, (_, index) => `x${index}`);
    ledger.add(report("e1", ...many), instant(0));
    const known = many.filter((name) => ledger.knows(name as ContentDigest));
    expect(known.length).toBe(256);
    for (let index = 0; index < 10_000; index++) {
      ledger.add(report(`e${index}`, `y${index}`), instant(1));
    }
    const later = Array.from(
      { length: 10_000 },
      (_, index) => ledger.knows(`y${index}` as ContentDigest),
    );
    expect(later.filter(Boolean).length).toBe(128);
  });
});

describe("requests that were answered lately", () => {
  const POPULAR = "popular" as ContentDigest;

  it("are remembered for half a minute to a minute", () => {
    const memory = new ServedMemory();
    memory.add(POPULAR, instant(0));
    expect(memory.has(POPULAR, instant(29_000))).toBe(true);
    expect(memory.has(POPULAR, instant(61_000))).toBe(false);
  });

  it("are remembered through a flood of others, as long as they come", () => {
    const memory = new ServedMemory();
    for (let index = 0; index < 20_000; index++) {
      memory.add(`x${index}` as ContentDigest, instant(index));
      if (index % 1_000 === 0) {
        memory.add(POPULAR, instant(index));
      }
    }
    expect(memory.has(POPULAR, instant(20_000))).toBe(true);
    expect(memory.has("x10" as ContentDigest, instant(20_000))).toBe(false);
  });
});
