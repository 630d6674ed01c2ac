import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { HEADERS } from "@sassafrasstep/platform";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { onRequests } from "../../bytes/index.ts";
import { callPlatform, PlatformFleet, route } from "../index.ts";

const PROMISE_STATUSES = [408, 421, 429, 503];
const OK = 200;
const FAILED = 500;
const ENDPOINTS = ["i-t1", "i-t2"];
/** Requests at the same time: connections enough for each endpoint to have a used one. */
const CONCURRENCY = 4;
const BODY = "answer";

/** The head of an extra answer, of which any part may precede the next answer. */
const EXTRA_HEADS = {
  refusal:
    `HTTP/1.1 503 B\r\n${HEADERS.notRun}: 1\r\n${HEADERS.retryAfter}: 1\r\n\r\n`,
  success: `HTTP/1.1 200 O\r\nage: 1\r\n${HEADERS.callId}: e\r\n\r\n`,
};

/** Runs every request; on a connection that carried one before, `extra` precedes the answer. */
class TornEndpoint {
  static executed: string[] = [];
  extra = "";
  status = OK;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server = createServer((socket) => {
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let isUsed = false;
    onRequests(socket, ({ call }) => {
      TornEndpoint.executed.push(call);
      const lines = [
        `HTTP/1.1 ${this.status} x`,
        `${HEADERS.callId}: ${call}`,
        `${HEADERS.seal}: s`,
        `content-length: ${BODY.length}`,
      ];
      socket.write((isUsed ? this.extra : "") + lines.join("\r\n"));
      socket.write(`\r\n\r\n${BODY}`);
      isUsed = true;
    });
  });

  async listen(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
    await once(this.#server, "close");
  }
}

// Guards against the head of an extra answer that runs on into the next answer, so that one is read where there are two.
describe("an extra answer that stops inside its head", () => {
  const fleet = new PlatformFleet({ endpoints: [] });
  const endpoints = ENDPOINTS.map(() => new TornEndpoint());
  let calls = 0;

  beforeAll(async () => {
    await fleet.prepare();
    for (const [index, id] of ENDPOINTS.entries()) {
      fleet.publishEndpoint(id, {
        service: "plain",
        address: await endpoints[index]!.listen(),
        state: "ready",
        sequence: 1,
      });
    }
    fleet.publishDocument([
      route("twice", { kind: "non_idempotent", service: "plain", attempts: 2 }),
    ]);
    await fleet.start(1);
  });
  afterAll(async () => {
    await fleet.close();
    await Promise.all(endpoints.map((endpoint) => endpoint.close()));
  });

  /** Sends requests at once; returns what is wrong with what their callers were told. */
  const sendAll = async (extra: string, status: number): Promise<string[]> => {
    endpoints.forEach((endpoint) => Object.assign(endpoint, { extra, status }));
    TornEndpoint.executed = [];
    const answers = await Promise.all(
      Array.from({ length: CONCURRENCY }, async () => {
        const call = `c${calls++}`;
        const address = fleet.entries[0]!.callers;
        return {
          call,
          ...await callPlatform(address, { path: "/twice/x", call }),
        };
      }),
    );
    return answers.flatMap((answer) => {
      const runs = TornEndpoint.executed.filter((call) => call === answer.call);
      const isFalsePromise = PROMISE_STATUSES.includes(answer.status) &&
        runs.length > 0;
      const isFalseSuccess = answer.status === OK && status !== OK;
      return runs.length > 1 || isFalsePromise || isFalseSuccess
        ? [`${answer.status}, ran ${runs.length} times`]
        : [];
    });
  };

  it.each(
    [["refusal", OK], ["refusal", FAILED], ["success", FAILED]] as const,
  )("is not read as one with the next answer: %s before %i", async (
    kind,
    status,
  ) => {
    const head = EXTRA_HEADS[kind];
    const wrong: string[] = [];
    for (let size = 1; size < head.length; size++) {
      await sendAll("", OK);
      const faults = await sendAll(head.slice(0, size), status);
      wrong.push(...faults.map((fault) => `${size} bytes: ${fault}`));
    }
    expect(wrong).toEqual([]);
  });
});
