import { describe, expect, it } from "vitest";
import {
  type Instant,
  instant,
  milliseconds,
  type ServiceId,
} from "../../ids/index.ts";
import { SoftwareHistory, type VersionKnowledge } from "../software_history.ts";
import { createEngine } from "./engine_fixture.ts";

const SERVICE = "pool" as ServiceId;
const WITHIN = milliseconds(20_000);

describe("the only version of a service", () => {
  const catalogue = {
    lastAnsweredAt: instant(0),
    generation: 0,
    confirmedAt: undefined as Instant | undefined,
    endpoints: new Map(),
  };
  const history = new SoftwareHistory(catalogue as never, {}, instant(0));
  const publish = (...versions: string[]): void => {
    catalogue.generation++;
    catalogue.endpoints = new Map(
      versions.map((softwareVersion) => [
        softwareVersion,
        createEngine("e1", { softwareVersion }).record,
      ]),
    );
  };
  const answerUntil = (end: number): void => {
    for (
      let time: number = catalogue.lastAnsweredAt;
      time <= end;
      time += 1_000
    ) {
      catalogue.lastAnsweredAt = instant(time);
      catalogue.confirmedAt = instant(time);
      history.update(instant(time));
    }
  };
  const versionsUntil = (until: number, now = until): VersionKnowledge =>
    history.versionsUntil(
      instant(until),
      { service: SERVICE, within: WITHIN },
      instant(now),
    );
  const soleVersion = (time: number): string | undefined => {
    const known = versionsUntil(time);
    return known.kind === "sole" ? known.version : undefined;
  };

  it("is known once no stream can be older than what was seen", () => {
    publish("v1");
    answerUntil(19_000);
    expect(soleVersion(19_000)).toBeUndefined();
    answerUntil(20_000);
    expect(soleVersion(20_000)).toBe("v1");
  });

  // Guards against a version that was published since the last read and began streams at other entries.
  it("is not confirmed for streams that may have begun since the last read", () => {
    expect(versionsUntil(20_000, 20_001).kind).toBe("sole");
    expect(versionsUntil(20_001).kind).toBe("unconfirmed");
  });

  it("is not known while streams of a former version may go on", () => {
    publish("v1", "v2");
    answerUntil(25_000);
    expect(soleVersion(25_000)).toBeUndefined();
    publish("v2");
    answerUntil(44_000);
    expect(soleVersion(44_000)).toBeUndefined();
    answerUntil(45_000);
    expect(soleVersion(45_000)).toBe("v2");
  });

  // Guards against a version that came and went while the platform did not answer.
  it("is not known after the platform was silent", () => {
    expect(soleVersion(51_000)).toBeUndefined();
    catalogue.lastAnsweredAt = instant(52_000);
    answerUntil(60_000);
    expect(soleVersion(60_000)).toBeUndefined();
    answerUntil(72_000);
    expect(soleVersion(72_000)).toBe("v2");
  });
});

// Guards against a version that came and went while the machine, and with it the process's clock, stood still.
describe("the only version of a service, after a suspension of the machine", () => {
  it("is not known until no stream can be older than the suspension", () => {
    const catalogue = {
      lastAnsweredAt: instant(0),
      generation: 0,
      confirmedAt: instant(50_000),
      endpoints: new Map([["e1", createEngine("e1").record]]),
    };
    const history = new SoftwareHistory(
      catalogue as never,
      { isFirstStart: true },
      instant(0),
    );
    const kindAt = (time: number): string =>
      history.versionsUntil(
        instant(time),
        { service: SERVICE, within: WITHIN },
        instant(time),
      ).kind;
    const answerAt = (time: number): void => {
      catalogue.lastAnsweredAt = instant(time);
      history.update(instant(time));
    };
    answerAt(1_000);
    expect(kindAt(1_100)).toBe("sole");
    history.addSuspendedTime(milliseconds(6_000));
    expect(kindAt(1_200)).toBe("unknown");
    for (let time = 2_000; time <= 22_000; time += 1_000) {
      answerAt(time);
    }
    expect(kindAt(21_900)).toBe("unknown");
    expect(kindAt(22_000)).toBe("sole");
  });
});

describe("the only version of a service, right after the start", () => {
  const START = 100_000;
  const NOW = instant(START + 500);
  const createHistory = (
    options: { isFirstStart?: boolean },
    firstAnswerAt = START + 200,
  ): SoftwareHistory => {
    const catalogue = {
      lastAnsweredAt: instant(firstAnswerAt),
      confirmedAt: NOW,
      generation: 0,
      endpoints: new Map([["e1", createEngine("e1").record]]),
    };
    const history = new SoftwareHistory(
      catalogue as never,
      options,
      instant(START),
    );
    history.update(instant(firstAnswerAt));
    return history;
  };
  const { softwareVersion } = createEngine("e1").record;
  const versionsAt = (
    history: SoftwareHistory,
    now: Instant,
  ): VersionKnowledge =>
    history.versionsUntil(NOW, { service: SERVICE, within: WITHIN }, now);

  // Guards against streams that are refused in the first seconds of a system that nothing ran before.
  it("is known where the whole system starts", () => {
    const history = createHistory({ isFirstStart: true });
    expect(versionsAt(history, NOW)).toEqual({
      kind: "sole",
      version: softwareVersion,
    });
  });

  it("is not known where the platform answers late", () => {
    const history = createHistory({ isFirstStart: true }, START + 5_000);
    const now = instant(START + 5_500);
    expect(versionsAt(history, now).kind).toBe("unknown");
  });

  it("is not known where an entry starts again", () => {
    const history = createHistory({});
    expect(versionsAt(history, NOW).kind).toBe("unknown");
  });
});
