import { beforeEach, describe, expect, it } from "vitest";
import type { EntryRecord, FleetController } from "../../fleet/index.ts";
import {
  type CallId,
  instant,
  SeededRandomness,
  type ServiceId,
} from "../../ids/index.ts";
import {
  type OriginMessage,
  type ReplicaCandidates,
  streamKey,
  StreamOrigins,
} from "../index.ts";

const ORIGIN = { service: "pool" as ServiceId, version: "v1" };
const KEYS_PER_MESSAGE = 90;

function entry(name: string, region: string): EntryRecord {
  return {
    id: name,
    incarnation: name,
    version: 1,
    zone: `${region}-1`,
    region,
    callerAddress: `${name}:80`,
    peerAddress: `${name}:90`,
    state: "ready",
    weight: 1,
  } as unknown as EntryRecord;
}

describe("the origins of streams at one entry", () => {
  const record = entry("a1", "a");
  let members: EntryRecord[];
  let candidates: ReplicaCandidates;
  let sent: { to: string; message: OriginMessage }[];
  let origins: StreamOrigins;
  let joining: boolean;

  const setMembers = (...records: EntryRecord[]): void => {
    members = records;
    candidates = {
      near: records.filter(({ region }) => region === "a"),
      far: records.filter(({ region }) => region !== "a"),
    };
  };
  const begin = (count: number): void => {
    for (let index = 0; index < count; index++) {
      origins.record(streamKey(`c${index}` as CallId), {
        origin: ORIGIN,
        revision: 2,
        expiresAt: instant(60_000),
      }, instant(0));
    }
  };
  const keysSentTo = (to: string): number =>
    sent.filter((item) => item.to === to).reduce(
      (sum, { message }) =>
        message.kind === "records"
          ? sum + message.groups.flatMap(({ keys }) => keys).length
          : sum,
      0,
    );

  beforeEach(() => {
    sent = [];
    joining = false;
    setMembers();
    const fleet = {
      record,
      isJoining: () => joining,
      possiblyLiveMembers: () => members.map((item) => ({ record: item })),
    } as unknown as FleetController;
    origins = new StreamOrigins({
      fleet,
      random: new SeededRandomness(1),
      candidates: () => candidates,
      send: (to, message) => sent.push({ to, message }),
    }, instant(0));
  });

  // Guards against a queue of records that grows for as long as an entry is alone.
  it("are each copied once to an entry that joins", () => {
    begin(200);
    origins.tick(instant(25));
    expect(sent).toEqual([]);
    setMembers(entry("a2", "a"));
    origins.tick(instant(300));
    origins.tick(instant(325));
    expect(keysSentTo("a2:90")).toBe(200);
    const largest = Math.max(
      ...sent.map(({ message }) =>
        message.kind === "records"
          ? message.groups.flatMap(({ keys }) => keys).length
          : 0
      ),
    );
    expect(largest).toBeLessThanOrEqual(KEYS_PER_MESSAGE);
  });

  it("are copied again while the copy is not confirmed", () => {
    begin(3);
    setMembers(entry("a2", "a"));
    origins.tick(instant(300));
    origins.tick(instant(900));
    expect(keysSentTo("a2:90")).toBe(6);
    origins.receive(
      { kind: "confirmed", from: "a2" as never },
      instant(950),
    );
    origins.tick(instant(1_500));
    expect(keysSentTo("a2:90")).toBe(6);
  });

  it("are taken over from an entry that has ended", () => {
    const key = streamKey("x" as CallId);
    const groups = [{
      origin: ORIGIN,
      revision: 2,
      lifetime: 60_000 as never,
      keys: [key],
    }];
    setMembers(entry("a2", "a"), entry("b1", "b"));
    origins.tick(instant(0));
    origins.receive(
      { kind: "records", from: "a2" as never, groups, confirmTo: undefined },
      instant(10),
    );
    setMembers(entry("a3", "a"), entry("b1", "b"));
    origins.tick(instant(300));
    origins.tick(instant(325));
    expect(keysSentTo("b1:90")).toBeGreaterThanOrEqual(1);
    expect(keysSentTo("a3:90")).toBeGreaterThanOrEqual(1);
  });

  it("are unknown at once if there is no other entry", () => {
    expect(origins.search(streamKey("x" as CallId), instant(0)))
      .toEqual({ kind: "unknown" });
  });

  it("are asked of the region first, then of the others, and are unknown in the end", () => {
    setMembers(entry("a2", "a"), entry("b1", "b"), entry("c1", "c"));
    const key = streamKey("x" as CallId);
    expect(origins.search(key, instant(0))).toEqual({ kind: "pending" });
    const asked = (): string[] =>
      sent.filter(({ message }) => message.kind === "query").map(({ to }) => to)
        .sort();
    expect(asked()).toEqual(["a2:90"]);
    expect(origins.tick(instant(25))).toEqual([]);
    expect(asked()).toEqual(["a2:90", "b1:90", "c1:90"]);
    expect(origins.tick(instant(450))).toEqual([key]);
  });

  describe("that nobody knows", () => {
    const key = streamKey("x" as CallId);
    const denyFrom = (from: string, at: number): void => {
      const keys = [key];
      const denial = { kind: "missing", from: from as never, keys } as const;
      expect(origins.receive(denial, instant(at))).toEqual([]);
    };

    beforeEach(() => {
      setMembers(entry("a2", "a"), entry("b1", "b"));
      origins.search(key, instant(0));
    });

    // Guards against callers that are held for the whole timeout although every entry has answered.
    it("are unknown as soon as all others have said so", () => {
      denyFrom("a2", 2);
      denyFrom("a2", 3);
      expect(origins.tick(instant(25))).toEqual([]);
      denyFrom("b1", 180);
      expect(origins.tick(instant(200))).toEqual([key]);
      expect(origins.tick(instant(450))).toEqual([]);
    });

    // Guards against a stream that is refused although an entry that answers later knows it.
    it.each<[string, () => void]>([
      ["does not answer", () => {}],
      ["has become known since", () => {
        denyFrom("b1", 180);
        setMembers(entry("a2", "a"), entry("b1", "b"), entry("b2", "b"));
      }],
      ["may turn up, since this one has just started", () => {
        denyFrom("b1", 180);
        joining = true;
      }],
    ])("are not unknown before the timeout if an entry %s", (_name, act) => {
      denyFrom("a2", 2);
      act();
      expect(origins.tick(instant(425))).toEqual([]);
      expect(origins.tick(instant(450))).toEqual([key]);
    });

    it("are denied to an entry that asks, and known ones are not", () => {
      begin(1);
      sent = [];
      const known = streamKey("c0" as CallId);
      const keys = [key, known];
      const query = { kind: "query", replyTo: "b1:90", spread: false } as const;
      origins.receive({ ...query, keys }, instant(5));
      expect(sent.map(({ message }) => message)).toMatchObject([
        { kind: "found", groups: [{ keys: [known] }] },
        { kind: "missing", from: "a1", keys: [key] },
      ]);
    });
  });
});
