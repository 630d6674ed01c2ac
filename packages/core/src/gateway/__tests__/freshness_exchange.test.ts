import { describe, expect, it } from "vitest";
import {
  type CatalogueEpoch,
  type Incarnation,
  instant,
  milliseconds,
  type Revision,
} from "../../ids/index.ts";
import { DocumentFreshness } from "../../customers/index.ts";
import type {
  CataloguePosition,
  FreshnessMessage,
  FreshnessRequest,
  FreshnessResponse,
} from "../../routes/index.ts";
import { FreshnessExchange } from "../freshness_exchange.ts";

const VERSION = 7 as Revision;

function at(revision: number): CataloguePosition {
  return { epoch: 1 as CatalogueEpoch, revision: revision as Revision };
}

/** `randomValue`: what the random source returns. */
function build(randomValue = 0): {
  documentFreshness: DocumentFreshness;
  exchange: FreshnessExchange;
  sent: FreshnessMessage[];
} {
  const documentFreshness = new DocumentFreshness();
  documentFreshness.setHeldVersion(VERSION);
  const sent: FreshnessMessage[] = [];
  const exchange = new FreshnessExchange({
    documentFreshness,
    random: { next: () => randomValue },
    isEnabled: () => true,
    isStandby: () => false,
    self: { incarnation: "e1" as Incarnation, peerAddress: "1.2.3.4:5" },
    localState: () => ({ version: VERSION, position: at(VERSION) }),
    changesSince: () => undefined,
    selectPeer: () => "1.2.3.5:5",
    send: (_to, message) => sent.push(message),
    onPeerReport: () => {},
  });
  return { documentFreshness, exchange, sent };
}

function answer(version: Revision, age: number): FreshnessResponse {
  return {
    kind: "answer",
    incarnation: "e2" as Incarnation,
    sequence: 1,
    version,
    position: at(version),
    age: milliseconds(age),
    news: undefined,
  };
}

describe("a peer's answer about the document", () => {
  // Guards against dating an answer by its arrival: an entry was paused for six seconds with an answer in
  // its socket and took it for recent, so that keys revoked meanwhile stayed valid for that much longer.
  it("counts its age and the time since the question", () => {
    const { documentFreshness, exchange } = build();
    exchange.tick(instant(1_000));
    exchange.receive(answer(VERSION, 200), instant(7_000));
    expect(documentFreshness.age(instant(7_000))).toBe(6_200);
  });

  it("counts the time that the machine was suspended", () => {
    const { documentFreshness, exchange } = build();
    exchange.tick(instant(1_000));
    documentFreshness.addSuspendedTime(milliseconds(4_000));
    exchange.receive(answer(VERSION, 200), instant(1_100));
    expect(documentFreshness.age(instant(1_100))).toBe(4_300);
  });

  it("proves nothing if it is unsolicited or repeated", () => {
    const { documentFreshness, exchange } = build();
    exchange.receive(answer(VERSION, 0), instant(1_000));
    expect(documentFreshness.age(instant(1_000))).toBe(Infinity);
    exchange.tick(instant(1_000));
    exchange.receive(answer(VERSION, 0), instant(1_100));
    exchange.receive(answer(VERSION, 0), instant(5_000));
    expect(documentFreshness.age(instant(5_000))).toBe(4_000);
  });

  // Guards against taking a document for more recent than it is, because of an answer to a former process at
  // the same address.
  it("proves nothing to a restarted process at the same address", () => {
    const { documentFreshness, exchange, sent } = build(0.5);
    exchange.tick(instant(1_000));
    exchange.receive(answer(VERSION, 0), instant(1_100));
    expect(documentFreshness.age(instant(1_100))).toBe(Infinity);
    const [{ sequence }] = sent as [FreshnessRequest];
    exchange.receive({ ...answer(VERSION, 0), sequence }, instant(1_200));
    expect(documentFreshness.age(instant(1_200))).toBe(200);
  });

  it("proves a newer document current only once it is held locally", () => {
    const { documentFreshness, exchange } = build();
    const newer = VERSION + 3 as Revision;
    exchange.tick(instant(1_000));
    exchange.receive(answer(newer, 100), instant(1_100));
    expect(documentFreshness.age(instant(1_100))).toBe(Infinity);
    documentFreshness.setHeldVersion(newer);
    expect(documentFreshness.age(instant(1_200))).toBe(300);
  });

  it("is only sent by an entry that has proof itself", () => {
    const { documentFreshness, exchange, sent } = build();
    const question = {
      kind: "question",
      from: "1.2.3.6:5",
      sequence: 3,
      position: at(0),
    };
    exchange.receive(question as FreshnessMessage, instant(500));
    expect(sent).toEqual([]);
    documentFreshness.addProof({
      version: VERSION,
      at: documentFreshness.mark(instant(400)),
    });
    exchange.receive(question as FreshnessMessage, instant(500));
    expect(sent).toMatchObject([{ kind: "answer", sequence: 3, age: 100 }]);
  });
});
