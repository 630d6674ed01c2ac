import { once } from "node:events";
import type { AddressInfo } from "node:net";
import {
  type CallerDigest,
  type CallId,
  type ContentDigest,
  type Incarnation,
  type RequestId,
} from "@sassafrasstep/core";
import { request } from "undici";
import { describe, expect, it } from "vitest";
import { BodyBudget } from "../body_budget.ts";
import { createIngress } from "../ingress.ts";
import {
  formatRelayHeader,
  RELAY_ATTEMPT_HEADER,
  RELAY_HEADER,
} from "../relay_header.ts";

const BODY_BUDGET_BYTES = 1_000_000;
const ATTEMPT = "r7.2";
const RELAY = formatRelayHeader({
  from: "n1" as Incarnation,
  sentBefore: 0,
  customer: undefined,
  origin: undefined,
  documentVersion: undefined,
}, { content: "c" as ContentDigest, caller: "d" as CallerDigest });

/** Sends a request that states an attempt; resolves with the attempt that the answer names. */
async function attemptOfAnswer(
  { relays }: { relays: boolean },
): Promise<string | string[] | undefined> {
  const server = createIngress({
    protocol: {
      readHead: () => ({
        call: "c1" as CallId,
        host: "x.example",
        target: "/a",
        timeLeft: undefined,
        lastEventId: undefined,
        key: { kind: "none" },
        prompt: undefined,
        sharedParts: undefined,
      }),
      refusalHeaders: () => [],
    },
    limits: () => undefined,
    closing: () => false,
    nextRequestId: () => "1" as unknown as RequestId,
    bodies: new BodyBudget(BODY_BUDGET_BYTES),
    onRefused: () => {},
    onRequest: (exchange) =>
      exchange.respond(200, { headers: [], body: Buffer.from("x") }),
    onCallerGone: () => {},
  }, { relays });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const { headers, body } = await request(`http://127.0.0.1:${port}/a`, {
    headers: { [RELAY_HEADER]: RELAY, [RELAY_ATTEMPT_HEADER]: ATTEMPT },
  });
  await body.dump();
  server.closeAllConnections();
  server.close();
  return headers[RELAY_ATTEMPT_HEADER];
}

describe("the attempt that an answer names", () => {
  it("is that of the entry that relayed the request", async () => {
    expect(await attemptOfAnswer({ relays: true })).toBe(ATTEMPT);
  });

  it("is not named to callers", async () => {
    expect(await attemptOfAnswer({ relays: false })).toBeUndefined();
  });
});
