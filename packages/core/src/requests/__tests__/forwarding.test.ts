import { describe, expect, it } from "vitest";
import {
  CoreFixture,
  dispatchedTargets,
  finalAnswers,
  refusalReason,
} from "../../__tests__/core_fixture.ts";
import { type Incarnation, sha256 } from "../../index.ts";

const ENDPOINTS = [{ id: "p1", pool: "print" }, { id: "e1", pool: "pool" }];
const OTHER_INCARNATION = "bbbbbbbbbbbb" as Incarnation;
const KEY = `n2.${OTHER_INCARNATION}.0.abcdefgh`;

describe("forwarding", () => {
  describe("a key that another entry owns", () => {
    it("is forwarded directly to the owner", () => {
      const core = new CoreFixture(ENDPOINTS);
      core.receiveHeartbeat({ incarnation: OTHER_INCARNATION });
      expect(
        dispatchedTargets(
          core.sendRequest({ service: "print", key: KEY }).effects,
        ),
      )
        .toEqual(["peer http://n2"]);
    });

    it("is refused if the call was already forwarded", () => {
      // Guards against a call that two entries pass back and forth until its deadline. This happens when they see
      // a hand-over differently: n2 takes n1 for the owner and forwards the call, n1 takes n2 for the owner.
      const core = new CoreFixture(ENDPOINTS);
      core.receiveHeartbeat({ incarnation: OTHER_INCARNATION });
      const { effects } = core.sendRequest({
        service: "print",
        key: KEY,
        forwarded: true,
      });
      expect(dispatchedTargets(effects)).toEqual([]);
      expect(refusalReason(effects)).toBe("owner_unreachable");
      expect(finalAnswers(effects)[0]).toMatchObject({
        refusal: { verdict: { kind: "may_have_run", settled: false } },
      });
    });

    it("is not forwarded out of a home-bound customer's region", () => {
      const core = new CoreFixture(ENDPOINTS);
      core.receiveHeartbeat({
        incarnation: OTHER_INCARNATION,
        id: "s1" as never,
        region: "south" as never,
        zone: "south-a" as never,
      });
      const bound = core.sendRequest({ service: "print", key: KEY });
      const free = core.sendRequest({
        service: "print",
        key: KEY,
        tokenDigest: sha256("guest"),
      });
      expect(dispatchedTargets(bound.effects)).toEqual([]);
      expect(dispatchedTargets(free.effects)).toEqual(["peer http://s1"]);
    });
  });

  describe("a forwarded request", () => {
    it("is refused instead of being forwarded to a third region", () => {
      const core = new CoreFixture([]);
      core.listEndpoints([{ id: "p1", pool: "print" }]);
      const spare = [{ service: "pool", slots: 50, firstToken: 10 }] as never;
      core.receiveHeartbeat({
        id: "s1" as never,
        incarnation: OTHER_INCARNATION,
        region: "south" as never,
        zone: "south-a" as never,
      }, { spare });
      core.advance(1_000);
      const guest = { tokenDigest: sha256("guest") };
      expect(
        dispatchedTargets(
          core.sendRequest({ ...guest, forwarded: true }).effects,
        ),
      )
        .toEqual([]);
      expect(dispatchedTargets(core.sendRequest(guest).effects)).toEqual([
        "peer http://s1",
      ]);
    });
  });
});
