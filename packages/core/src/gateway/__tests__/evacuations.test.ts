import { beforeEach, describe, expect, it } from "vitest";
import { instant, type ZoneId } from "../../ids/index.ts";
import { Evacuations } from "../evacuations.ts";

const ZONE = "z" as ZoneId;
const KEPT_UNTIL = instant(100);

describe("the evacuation of a zone", () => {
  let evacuations: Evacuations;
  const isEvacuated = (): boolean => evacuations.zones.has(ZONE);

  beforeEach(() => {
    evacuations = new Evacuations();
    evacuations.begin(ZONE);
  });

  it("ends when the platform no longer lists it", () => {
    evacuations.replace([]);
    expect(isEvacuated()).toBe(false);
  });

  // Guards against requests to a zone whose evacuation is missing from a restored backup.
  describe("that is missing from a restored backup", () => {
    beforeEach(() => evacuations.replace([], KEPT_UNTIL));

    it("lasts for a while, and is not published to peers", () => {
      expect(isEvacuated()).toBe(true);
      expect(evacuations.published).toEqual([]);
      expect(evacuations.expire(instant(99))).toBe(false);
      expect(evacuations.expire(KEPT_UNTIL)).toBe(true);
      expect(isEvacuated()).toBe(false);
    });

    it("lasts until the first deadline after further full reads", () => {
      evacuations.replace([]);
      evacuations.replace([], instant(200));
      expect(isEvacuated()).toBe(true);
      evacuations.expire(KEPT_UNTIL);
      expect(isEvacuated()).toBe(false);
    });

    it("lasts if operators write it again", () => {
      evacuations.begin(ZONE);
      evacuations.expire(KEPT_UNTIL);
      expect(isEvacuated()).toBe(true);
      expect(evacuations.published).toEqual([ZONE]);
    });

    it("ends when operators end it", () => {
      evacuations.end(ZONE);
      expect(isEvacuated()).toBe(false);
    });
  });
});
