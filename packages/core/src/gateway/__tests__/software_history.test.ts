import { describe, expect, it } from "vitest";
import { instant, milliseconds, type ServiceId } from "../../ids/index.ts";
import { SoftwareHistory } from "../software_history.ts";
import { createEngine } from "./engine_fixture.ts";

const SERVICE = "pool" as ServiceId;
const WITHIN = milliseconds(20_000);

describe("the only version of a service", () => {
  const catalogue = {
    lastAnsweredAt: instant(0),
    generation: 0,
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
      history.update(instant(time));
    }
  };
  const soleVersion = (time: number): string | undefined =>
    history.soleVersion(SERVICE, WITHIN, instant(time));

  it("is known once no stream can be older than what was seen", () => {
    publish("v1");
    answerUntil(19_000);
    expect(soleVersion(19_000)).toBeUndefined();
    answerUntil(20_000);
    expect(soleVersion(20_000)).toBe("v1");
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

describe("the only version of a service, right after the start", () => {
  const START = 100_000;
  const NOW = instant(START + 500);
  const createHistory = (
    options: { isFirstStart?: boolean },
    firstAnswerAt = START + 200,
  ): SoftwareHistory => {
    const catalogue = {
      lastAnsweredAt: instant(firstAnswerAt),
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

  // Guards against streams that are refused in the first seconds of a system that nothing ran before.
  it("is known where the whole system starts", () => {
    const history = createHistory({ isFirstStart: true });
    expect(history.soleVersion(SERVICE, WITHIN, NOW)).toBe(softwareVersion);
  });

  it("is not known where the platform answers late", () => {
    const history = createHistory({ isFirstStart: true }, START + 5_000);
    const now = instant(START + 5_500);
    expect(history.soleVersion(SERVICE, WITHIN, now)).toBeUndefined();
  });

  it("is not known where an entry starts again", () => {
    const history = createHistory({});
    expect(history.soleVersion(SERVICE, WITHIN, NOW)).toBeUndefined();
  });
});
