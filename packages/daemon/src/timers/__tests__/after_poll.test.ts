import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as wait } from "node:timers/promises";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { afterPoll } from "../after_poll.ts";

/** Holds the loop up, as a stopped process or a busy machine does. */
function block(time: number): void {
  const end = performance.now() + time;
  while (performance.now() < end);
}

// A process stood still with an answer in its socket and a timer that was due. The loop serves timers
// first: the answer was given up, and was there to be read a moment later.
describe("a timer after the sockets", () => {
  const server = createServer();
  let near: Socket;
  let far: Socket;

  beforeAll(async () => {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    near = connect((server.address() as AddressInfo).port, "127.0.0.1");
    [far] = await once(server, "connection") as [Socket];
  });
  afterAll(() => {
    near.destroy();
    far.destroy();
    server.close();
  });

  /** Something is sent just before the loop is held up. */
  const stallWithNews = (): void => {
    setImmediate(() => {
      far.write("x");
      block(50);
    });
  };

  it("comes after what lay there when it was due", async () => {
    const order: string[] = [];
    near.once("data", () => order.push("data"));
    const fired = new Promise<void>((resolve) =>
      afterPoll(20, () => {
        order.push("timer");
        resolve();
      })
    );
    stallWithNews();
    await fired;
    expect(order).toEqual(["data", "timer"]);
  });

  it("is ended by what was read just before", async () => {
    let fired = false;
    const cancel = afterPoll(20, () => fired = true);
    near.once("data", cancel);
    stallWithNews();
    await wait(100);
    expect(fired).toBe(false);
  });
});
