import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import type { RegionId, Revision } from "@sassafrasstep/core";
import { EndpointClient } from "../../outbound/index.ts";
import { Credentials, PeerClients } from "../../peers/index.ts";
import { copyConfiguration } from "../../peers/client.ts";
import { PlatformClient } from "../../platform/index.ts";

/** Exceeds the longest of the timeouts. */
const STALL_MS = 3_400;
const ANSWERS: readonly (readonly [string, string])[] = [
  ["/v1/load", '{"running":1,"slots":4}'],
  ["/v1/model", "{}"],
  ["/trpc/configuration", '{"result":{"data":null}}'],
  ["/v1/vms", '{"vms":[]}'],
];

/** Blocks the event loop, as a stopped process or a busy machine does. */
function blockEventLoop(durationMs: number): void {
  const end = performance.now() + durationMs;
  while (performance.now() < end);
}

// Guards against timeouts after a pause of the process. It had sent requests and all answers were in its
// sockets when it resumed, but timers ran first: the endpoint became suspect, the peer counted as silent and
// the platform as unreachable.
describe("an answer that arrived while the process was paused", () => {
  const pendingAnswers: (() => void)[] = [];
  /** Answers all requests as soon as each of them has arrived, and then blocks the event loop. */
  const server = createServer(({ url }, reply: ServerResponse) => {
    const [, text] = ANSWERS.find(([path]) => url!.startsWith(path))!;
    pendingAnswers.push(() => reply.end(text));
    if (pendingAnswers.length === ANSWERS.length) {
      pendingAnswers.forEach((answer) => answer());
      setImmediate(() => blockEventLoop(STALL_MS));
    }
  });
  const endpoints = new EndpointClient();
  const orders = new EndpointClient();
  const peers = new PeerClients(new Credentials("secret", "demo"));
  let outcomes: Map<string, string>;

  beforeAll(async () => {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const url = `http://127.0.0.1:${port}`;
    const platform = new PlatformClient({
      configurationUrl: url,
      vmListUrl: url,
    });
    const order = { url, model: "m", fence: 1, expected: "" };
    const reads: Record<string, Promise<unknown>> = {
      "an endpoint's load": endpoints.pollLoad(url),
      "an order": orders.sendOrder(order as never),
      "a peer's text": copyConfiguration(peers.at(url), 0 as Revision),
      "the platform's list": platform.listVms("r" as RegionId),
    };
    const settled = await Promise.allSettled(Object.values(reads));
    outcomes = new Map(
      Object.keys(reads).map((name, index) => [name, settled[index]!.status]),
    );
  });
  afterAll(async () => {
    await endpoints.close();
    await orders.close();
    await peers.close();
    server.closeAllConnections();
    server.close();
  });

  it.each([
    "an endpoint's load",
    "an order",
    "a peer's text",
    "the platform's list",
  ])("is accepted: %s", (name) => expect(outcomes.get(name)).toBe("fulfilled"));
});
