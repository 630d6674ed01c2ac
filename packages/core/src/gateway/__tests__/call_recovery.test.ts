import { describe, expect, it } from "vitest";
import {
  type Incarnation,
  type Instant,
  type RegionId,
  type ServiceId,
} from "../../ids/index.ts";
import type { OpenAttempt } from "../call.ts";
import { CallRecovery, type RecoveryDependencies } from "../call_recovery.ts";
import type { CallAnswer } from "../messages.ts";
import { createAnswer } from "./answer_fixture.ts";

const ORIGIN = { service: "pool" as ServiceId, version: "v1" };
const ATTEMPT = {
  target: {
    kind: "peer",
    incarnation: "b1" as Incarnation,
    region: "b" as RegionId,
    address: "1.2.3.4:5",
    sentBefore: 0,
  },
  createdAt: 0 as Instant,
} as OpenAttempt;
const REJECTION = createAnswer({
  status: 400,
  namesRequest: false,
  fromEndpoint: false,
  events: false,
});

describe("a relayed resumption that is answered 400", () => {
  const recovery = new CallRecovery({} as RecoveryDependencies);
  const isUnsupported = (answer: Partial<CallAnswer>): boolean =>
    recovery.isUnsupported(
      { attempt: ATTEMPT, origin: ORIGIN },
      { ...REJECTION, ...answer },
    );

  it("was not accepted by an entry of an earlier version", () => {
    expect(isUnsupported({})).toBe(true);
  });

  // Guards against a request that counts as not run although the endpoint behind the peer answered it.
  it("may have run if the peer states where", () => {
    expect(isUnsupported({ origin: ORIGIN })).toBe(false);
    expect(isUnsupported({ fromEndpoint: true })).toBe(false);
  });
});
