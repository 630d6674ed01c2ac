import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { afterPoll } from "../after_poll.ts";

/** Blocks the event loop, as a stopped process or a busy machine does. */
function blockEventLoop(durationMs: number): void {
  const end = performance.now() + durationMs;
  while (performance.now() < end);
}

// Guards against a timeout for an answer that has arrived. After a pause, a process has an answer in its
// socket and a due timer. The event loop runs timers first, so the request was given up although its answer
// could be read a moment later.
describe("a timer that runs after socket reads", () => {
  const server = createServer();
  let client: Socket;
  let peer: Socket;

  beforeAll(async () => {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    client = connect((server.address() as AddressInfo).port, "127.0.0.1");
    [peer] = await once(server, "connection") as [Socket];
  });
  afterAll(() => {
    client.destroy();
    peer.destroy();
    server.close();
  });

  /** Starts a timer, sends data and blocks the event loop until the timer is due. */
  const sendAndBlock = (startTimer: () => void): void => {
    setImmediate(() => {
      startTimer();
      peer.write("x");
      blockEventLoop(50);
    });
  };

  it("fires after data that had arrived when it was due", async () => {
    const order: string[] = [];
    client.once("data", () => order.push("data"));
    await new Promise<void>((resolve) =>
      sendAndBlock(() =>
        afterPoll(20, () => {
          order.push("timer");
          resolve();
        })
      )
    );
    expect(order).toEqual(["data", "timer"]);
  });

  it("can be cancelled by data that is read just before", async () => {
    let fired = false;
    sendAndBlock(() => client.once("data", afterPoll(20, () => fired = true)));
    await wait(100);
    expect(fired).toBe(false);
  });
});
