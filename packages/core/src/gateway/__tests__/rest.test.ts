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

/** The weakest of many entries of a zone, before a platform that answers at once. */
describe("an entry that stands by", () => {
  let gateway: Gateway;
  let now: number;
  let reads: number[];
  let refused: string[];
  /** Whether the platform answers. */
  let answers: boolean;

  const handle = (event: Parameters<Gateway["handle"]>[0]): void =>
    take(gateway.handle(event, instant(now)));
  const take = (effects: readonly GatewayEffect[]): void => {
    for (const effect of effects) {
      if (effect.kind === "datagram" && effect.message.kind === "ping") {
        acknowledge(effect.to, effect.message.sequence);
      }
      if (effect.kind === "readCatalogue") {
        reads.push(now);
        if (answers) {
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
      pauses.push(gateway.tickPause);
      now += gateway.tickPause;
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
    answers = true;
    gateway = startGateway({ zone: ZONE, region: REGION });
    for (let index = 0; index < 20; index++) {
      handle({
        kind: "datagram",
        message: { kind: "announce", ...peer(`b${index}`) } as never,
      });
    }
  });

  /**
   * Symptom: a large fleet spends a third of its processor time before the first request.
   * Sequence: entries start and wait for requests.
   * Cause: each woke forty times a second for deadlines of requests that it did not have.
   */
  it("is woken a few times a second", () => {
    run(10_000);
    expect(run(12_000).length).toBeLessThanOrEqual(8);
  });

  it("reads the picture seldom, and soon once a request has come", () => {
    run(20_000);
    const rested = reads.slice(-3);
    expect(rested[1]! - rested[0]!).toBeGreaterThanOrEqual(8_000);
    expect(rested[1]! - rested[0]!).toBeLessThanOrEqual(8_300);
    const last = reads.at(-1)!;
    run(last + 1_500);
    expect(reads.at(-1)).toBe(last);
    arrive();
    run(now + 300);
    expect(reads.at(-1)).toBeGreaterThan(last);
  });

  it("reads the picture soon where one that carries has another", () => {
    const hear = (picture: number): void =>
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
    hear(gateway.catalogue.picture);
    run(last + 3_000);
    expect(reads.at(-1)).toBe(last);
    hear(gateway.catalogue.picture + 1);
    run(now + 300);
    const next = reads.at(-1)!;
    expect(next).toBeGreaterThan(last);
    while (now < next + 2_500) {
      hear(gateway.catalogue.picture + 1);
      run(now + 100);
    }
    expect(reads.at(-1)).toBe(next);
    run(next + 3_300);
    expect(reads.at(-1)).toBeGreaterThan(next);
  });

  /**
   * Symptom: a request is handled by a document that was replaced seconds ago.
   * Sequence: an entry stands by and reads seldom; callers are named it and send at once.
   * Cause: it served from the picture that it had.
   */
  it("has a request wait for the read where its picture is old", () => {
    run(20_000);
    run(reads.at(-1)! + 5_000);
    answers = false;
    arrive();
    expect(gateway.calls.active).toBe(1);
    run(now + 100);
    expect(refused).toEqual([]);
    answers = true;
    answer();
    run(now + 50);
    expect(refused).toEqual(["no_route"]);
  });

  // Guards against a request that is judged by a picture of seconds ago, as its read only told that all is old.
  it.each([
    ["dropped", { kind: "catalogueCompacted" }],
    ["of another epoch", {
      kind: "catalogueChanged",
      changes: { epoch: 3 as never, revision: 1 as never, changes: [] },
    }],
  ])("has it wait on where the history is %s", (_name, event) => {
    run(20_000);
    run(reads.at(-1)! + 5_000);
    answers = false;
    arrive();
    handle(event as Parameters<Gateway["handle"]>[0]);
    run(now + 100);
    expect(refused).toEqual([]);
    answer();
    run(now + 50);
    expect(refused).toEqual(["no_route"]);
  });

  /**
   * Symptom: every request of a region waits for most of a second when the platform falls silent.
   * Sequence: entries that carry have a read under way that waits for changes; none comes.
   * Cause: their picture was taken for that of an entry that had stood by.
   */
  it("has no request wait while it carries and the platform is silent", () => {
    for (let index = 0; index < 40; index++) {
      arrive();
      run(now + 250);
    }
    answers = false;
    for (let index = 0; index < 20; index++) {
      const before = refused.length;
      arrive();
      expect(refused.length).toBe(before + 1);
      run(now + 250);
    }
  });

  it("goes by the old picture where the read fails", () => {
    run(20_000);
    run(reads.at(-1)! + 5_000);
    answers = false;
    arrive();
    run(now + 50);
    handle({ kind: "catalogueFailed", detail: "down" });
    run(now + 50);
    expect(refused).toEqual(["no_route"]);
  });

  it("reads on as often as others while requests come", () => {
    for (let index = 0; index < 40; index++) {
      arrive();
      run(now + 250);
    }
    const [former, latest] = reads.slice(-2);
    expect(latest! - former!).toBeLessThanOrEqual(1_500);
  });
});
