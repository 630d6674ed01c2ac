import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  listenRaw,
  type RawAnswer,
  type RawEndpoint,
} from "../../gateway/__tests__/wire_fixture.ts";
import { EndpointClient } from "../endpoint_client.ts";

const REPORT = '{"running":1,"slots":4}';
const ANSWER =
  `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${REPORT.length}\r\n\r\n${REPORT}`;
/** Longer than a poll and an order may take. */
const STALLS_MS = { poll: 1_100, order: 3_100 };

/** Blocks the loop, as a machine that is busy or a process that is stopped does. */
function stall(forMs: number): void {
  const until = performance.now() + forMs;
  while (performance.now() < until) {
    // Nothing else runs.
  }
}

describe("calls to endpoints beside the requests", () => {
  let endpoint: RawEndpoint;
  let answer: RawAnswer;
  let client: EndpointClient;

  beforeEach(async () => {
    endpoint = await listenRaw((socket, text) => answer(socket, text));
    client = new EndpointClient();
  });
  afterEach(async () => {
    await client.close();
    await endpoint.close();
  });

  // After a pause of the entry each load poll under way had failed, with its answer in the socket: timers
  // are served before sockets. Endpoints that had answered became suspect for two seconds.
  describe("while the entry stands still", () => {
    function answerAndStall(forMs: number): RawAnswer {
      return (socket) => {
        socket.write(ANSWER);
        stall(forMs);
      };
    }

    it("takes a load report that came meanwhile", async () => {
      answer = answerAndStall(STALLS_MS.poll);
      const report = await client.pollLoad(`http://${endpoint.address}`);
      expect(report.running).toBe(1);
    });

    it("takes the answer to an order that came meanwhile", async () => {
      answer = answerAndStall(STALLS_MS.order);
      const order = { model: "m", fence: 1, expected: "", endpoint: "e1" };
      const url = `http://${endpoint.address}`;
      expect(await client.order({ ...order, url } as never)).toBe(true);
    });
  });

  it("gives up on an endpoint that says nothing", async () => {
    answer = () => {};
    await expect(client.pollLoad(`http://${endpoint.address}`)).rejects
      .toThrow();
  });
});
