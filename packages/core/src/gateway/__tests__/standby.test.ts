import { beforeEach, describe, expect, it } from "vitest";
import {
  type CallHead,
  type Gateway,
  type GatewayEffect,
  type Incarnation,
  instant,
  type RegionId,
  type ZoneId,
} from "../../index.ts";
import { startGateway } from "./gateway_fixture.ts";

const ZONE = "z" as ZoneId;
const REGION = "r" as RegionId;

/** The entry with the lowest weight among many of its zone, with a platform that answers at once. */
describe("a standby entry", () => {
  let gateway: Gateway;
  let now: number;
  let reads: number[];
  let refused: string[];
  /** Whether the platform answers reads. */
  let platformAnswers: boolean;

  const handle = (event: Parameters<Gateway["handle"]>[0]): void =>
    applyEffects(gateway.handle(event, instant(now)));
  const applyEffects = (effects: readonly GatewayEffect[]): void => {
    for (const effect of effects) {
      if (effect.kind === "datagram" && effect.message.kind === "ping") {
        acknowledge(effect.to, effect.message.sequence);
      }
      if (effect.kind === "readCatalogue") {
        reads.push(now);
        if (platformAnswers) {
          answer();
        }
      }
      if (effect.kind === "refuse") {
        refused.push(effect.refusal.reason);
      }
    }
  };
  const peer = (name: string): object => ({
    from: {
      id: name,
      incarnation: `${name}1`,
      version: 1,
      zone: ZONE,
      region: REGION,
      callerAddress: `${name}:2`,
      peerAddress: `${name}:1`,
      state: "ready",
      weight: 2,
    },
    holdings: { document: 1, catalogue: { epoch: 0, revision: 1 } },
    news: [],
    regions: [],
    holds: [],
  });
  const acknowledge = (to: string, sequence: number): void =>
    handle({
      kind: "datagram",
      message: { kind: "ack", sequence, ...peer(to.split(":")[0]!) } as never,
    });
  const answer = (): void =>
    handle({
      kind: "catalogueRead",
      snapshot: {
        revision: 1 as never,
        document: {
          version: 1 as never,
          routes: [],
          services: new Map(),
          customers: new Map(),
          limits: {} as never,
        },
        endpoints: [],
        evacuated: [],
      },
    });
  const run = (until: number): number[] => {
    const pauses: number[] = [];
    while (now < until) {
      handle({ kind: "tick" });
      pauses.push(gateway.tickInterval);
      now += gateway.tickInterval;
    }
    return pauses;
  };
  const arrive = (): void =>
    handle({
      kind: "arrived",
      head: { id: "q", host: "h", target: "/" } as unknown as CallHead,
    });

  beforeEach(() => {
    now = 0;
    reads = [];
    refused = [];
    platformAnswers = true;
    gateway = startGateway({ zone: ZONE, region: REGION });
    for (let index = 0; index < 20; index++) {
      handle({
        kind: "datagram",
        message: { kind: "announce", ...peer(`b${index}`) } as never,
      });
    }
  });

  // Guards against a large fleet that spends a third of its processor time before the first request. Each
  // entry woke up forty times a second to check the deadlines of requests that it did not have.
  it("wakes up only a few times a second", () => {
    run(10_000);
    expect(run(12_000).length).toBeLessThanOrEqual(8);
  });

  it("reads the catalogue seldom, but soon after a request has arrived", () => {
    run(20_000);
    const standbyReads = reads.slice(-3);
    expect(standbyReads[1]! - standbyReads[0]!).toBeGreaterThanOrEqual(8_000);
    expect(standbyReads[1]! - standbyReads[0]!).toBeLessThanOrEqual(8_300);
    const last = reads.at(-1)!;
    run(last + 1_500);
    expect(reads.at(-1)).toBe(last);
    arrive();
    run(now + 300);
    expect(reads.at(-1)).toBeGreaterThan(last);
  });

  it("reads the catalogue soon if a serving entry has a different one", () => {
    const receiveReport = (picture: number): void =>
      handle({
        kind: "datagram",
        message: {
          kind: "work",
          incarnation: "b1" as Incarnation,
          report: {
            partial: false,
            endpoints: [],
            prefixes: [],
            arrivals: [],
            picture,
          },
        },
      });
    run(20_000);
    const last = reads.at(-1)!;
    run(last + 1_500);
    receiveReport(gateway.catalogue.contentHash);
    run(last + 3_000);
    expect(reads.at(-1)).toBe(last);
    receiveReport(gateway.catalogue.contentHash + 1);
    run(now + 300);
    const next = reads.at(-1)!;
    expect(next).toBeGreaterThan(last);
    while (now < next + 2_500) {
      receiveReport(gateway.catalogue.contentHash + 1);
      run(now + 100);
    }
    expect(reads.at(-1)).toBe(next);
    run(next + 3_300);
    expect(reads.at(-1)).toBeGreaterThan(next);
  });

  // Guards against requests that are handled by a document that was replaced seconds ago. A standby entry
  // reads the catalogue seldom, but callers may be told to use it and send requests at once.
  it("holds a request until the catalogue is read if its copy is old", () => {
    run(20_000);
    run(reads.at(-1)! + 5_000);
    platformAnswers = false;
    arrive();
    expect(gateway.calls.active).toBe(1);
    run(now + 100);
    expect(refused).toEqual([]);
    platformAnswers = true;
    answer();
    run(now + 50);
    expect(refused).toEqual(["no_route"]);
  });

  // Guards against requests that are decided on an outdated catalogue because the answer to the read only
  // says that the catalogue has to be read in full.
  it.each([
    ["dropped", { kind: "catalogueCompacted" }],
    ["of another epoch", {
      kind: "catalogueChanged",
      changes: { epoch: 3 as never, revision: 1 as never, changes: [] },
    }],
  ])("keeps holding the request if the history is %s", (_name, event) => {
    run(20_000);
    run(reads.at(-1)! + 5_000);
    platformAnswers = false;
    arrive();
    handle(event as Parameters<Gateway["handle"]>[0]);
    run(now + 100);
    expect(refused).toEqual([]);
    answer();
    run(now + 50);
    expect(refused).toEqual(["no_route"]);
  });

  // Guards against a delay of most of a second for every request of a region when the platform falls
  // silent. A serving entry always has a read in flight that waits for changes; its catalogue must not
  // count as old, like a standby entry's.
  it("holds no request while it serves and the platform is silent", () => {
    for (let index = 0; index < 40; index++) {
      arrive();
      run(now + 250);
    }
    platformAnswers = false;
    for (let index = 0; index < 20; index++) {
      const before = refused.length;
      arrive();
      expect(refused.length).toBe(before + 1);
      run(now + 250);
    }
  });

  it("uses the old catalogue if the read fails", () => {
    run(20_000);
    run(reads.at(-1)! + 5_000);
    platformAnswers = false;
    arrive();
    run(now + 50);
    handle({ kind: "catalogueFailed", detail: "down" });
    run(now + 50);
    expect(refused).toEqual(["no_route"]);
  });

  it("reads as often as serving entries while requests arrive", () => {
    for (let index = 0; index < 40; index++) {
      arrive();
      run(now + 250);
    }
    const [previous, latest] = reads.slice(-2);
    expect(latest! - previous!).toBeLessThanOrEqual(1_500);
  });
});
