import { beforeEach, describe, expect, it } from "vitest";
import { instant, type ZoneId } from "../../ids/index.ts";
import { Evacuations } from "../evacuations.ts";

const ZONE = "z" as ZoneId;
const KEPT_UNTIL = instant(100);

describe("an evacuated zone", () => {
  let evacuations: Evacuations;
  const isEvacuated = (): boolean => evacuations.zones.has(ZONE);

  beforeEach(() => {
    evacuations = new Evacuations();
    evacuations.begin(ZONE);
  });

  it("is taken back", () => {
    evacuations.replace([]);
    expect(isEvacuated()).toBe(false);
  });

  // Guards against requests to a zone whose evacuation a copy does not know.
  describe("that a copy lacks", () => {
    beforeEach(() => evacuations.replace([], KEPT_UNTIL));

    it("stays so for a while, and peers are not told", () => {
      expect(isEvacuated()).toBe(true);
      expect(evacuations.published).toEqual([]);
      expect(evacuations.expire(instant(99))).toBe(false);
      expect(evacuations.expire(KEPT_UNTIL)).toBe(true);
      expect(isEvacuated()).toBe(false);
    });

    it("stays so where everything is read once more", () => {
      evacuations.replace([]);
      evacuations.replace([], instant(200));
      expect(isEvacuated()).toBe(true);
      evacuations.expire(KEPT_UNTIL);
      expect(isEvacuated()).toBe(false);
    });

    it("stays so where operators write it again", () => {
      evacuations.begin(ZONE);
      evacuations.expire(KEPT_UNTIL);
      expect(isEvacuated()).toBe(true);
      expect(evacuations.published).toEqual([ZONE]);
    });

    it("is taken back by a word of the operators", () => {
      evacuations.end(ZONE);
      expect(isEvacuated()).toBe(false);
    });
  });
});
