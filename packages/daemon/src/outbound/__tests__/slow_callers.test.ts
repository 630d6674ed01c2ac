import { once } from "node:events";
import { type IncomingMessage, request, type Server } from "node:http";
import { type AddressInfo, type Socket } from "node:net";
import {
  type Attempt,
  type AttemptId,
  type CoreEvent,
  createRefusal,
  type EndpointId,
  type Incarnation,
  milliseconds,
  NOT_RUN,
  type RequestId,
} from "@sassafrasstep/core";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import {
  type Caller,
  type CallerService,
  createCallerServer,
} from "../../callers/index.ts";
import {
  listenRaw,
  type RawEndpoint,
} from "../../gateway/__tests__/wire_fixture.ts";
import { Credentials } from "../../peers/index.ts";
import { AttemptRunner } from "../attempt_runner.ts";

/** Together with the token's size, exceeds what the sockets between an engine and its caller buffer. */
const TOKENS = 1_200;
const TOKEN = "x".repeat(32_000);

function frame(id: string, offset: number): string {
  const token = `${id}:${offset}:${TOKEN}`;
  return `data: ${JSON.stringify({ id, offset, token })}\n\n`;
}

function attemptOf(number: number, url: string, from: number): Attempt {
  return {
    id: `r.${number}` as AttemptId,
    request: "r" as RequestId,
    target: { kind: "endpoint", endpoint: `e${number}` as EndpointId, url },
    timeLeft: milliseconds(60_000),
    resumeOffset: from,
    freshConnection: false,
    priority: 0,
  };
}

describe("a caller that reads slowly", () => {
  const events: CoreEvent[] = [];
  let engine: RawEndpoint;
  let engineSockets: Socket[];
  let server: Server;
  let runner: AttemptRunner;
  let caller: Caller;
  let response: IncomingMessage;
  let runs: Promise<void>[];

  beforeEach(async () => {
    events.length = 0;
    engineSockets = [];
    runs = [];
    engine = await listenRaw((socket, text) => {
      if (!text.includes("x-request-id")) {
        return;
      }
      engineSockets.push(socket);
      const id = /x-request-id: (\S+)/.exec(text)![1]!;
      const from = Number(/x-resume-offset: (\d+)/.exec(text)![1]);
      socket.write(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n",
      );
      for (let offset = from; offset < TOKENS; offset++) {
        socket.write(frame(id, offset));
      }
      socket.end(
        `data: ${JSON.stringify({ id, offset: TOKENS, done: true })}\n\n`,
      );
    });
    const credentials = new Credentials("fixture-secret-0123456789", "wire");
    runner = new AttemptRunner({
      incarnation: "n1" as Incarnation,
      credentials,
      commit: () => true,
      emit: (event) => events.push(event),
    });
    const service: CallerService = {
      credentials,
      defaultChatService: () => "pool",
      newRequestId: () => "r" as RequestId,
      open: (opened) => {
        caller = opened;
        void opened.readBody();
      },
      bodyRead: () => start(1),
      bodyFailed: (_, detail) => expect.unreachable(detail),
      disconnected: () => runner.abort("r.1" as AttemptId),
      closed: () => {},
      listEntries: () => undefined,
    };
    server = createCallerServer(service).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const clientRequest = request({
      port,
      host: "127.0.0.1",
      method: "POST",
      path: "/v1/chat/completions",
      agent: false,
    });
    clientRequest.on("error", () => {});
    clientRequest.end(
      JSON.stringify({
        stream: true,
        messages: [{ role: "user", content: "x" }],
      }),
    );
    [response] = await once(clientRequest, "response") as [IncomingMessage];
    response.on("error", () => {});
    await untilBlocked();
  });
  afterEach(async () => {
    response.destroy();
    await runner.close();
    server.closeAllConnections();
    server.close();
    await engine.close();
  });

  function start(number: number): void {
    const from = number === 1 ? 0 : caller.tokens.offset;
    const attempt = attemptOf(number, `http://${engine.address}`, from);
    runs.push(runner.run(attempt, caller));
  }

  /** Waits until backpressure stops the relay of tokens. */
  async function untilBlocked(): Promise<void> {
    for (let before = -1, same = 0; same < 5;) {
      await new Promise((resolve) => setTimeout(resolve, 20));
      const { offset } = caller.tokens;
      same = offset === before && offset > 0 ? same + 1 : 0;
      before = offset;
    }
    expect(caller.tokens.offset).toBeLessThan(TOKENS);
  }

  /** Reads to the end and returns the attempt and offset of each token, and the remaining text. */
  async function readAll(): Promise<{ tokens: string[]; rest: string }> {
    const chunks: Buffer[] = [];
    for await (const chunk of response) {
      chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString();
    const tokens: string[] = [];
    const rest = text.replaceAll(
      /id: r:(\d+)\n.*?"content":"(r\.\d):(\d+):(x*)"[^\n]*\n\n/g,
      (_, number, attempt, offset, filler) => {
        expect(Number(number)).toBe(Number(offset) + 1);
        expect(filler.length).toBe(TOKEN.length);
        tokens.push(`${attempt}:${offset}`);
        return "";
      },
    );
    return { tokens, rest };
  }

  function tokenIds(attempt: string, from: number, to: number): string[] {
    return Array.from(
      { length: to - from },
      (_, index) => `${attempt}:${from + index}`,
    );
  }

  it("gets the whole stream from one attempt", async () => {
    const { tokens, rest } = await readAll();
    await Promise.all(runs);
    expect(tokens).toEqual(tokenIds("r.1", 0, TOKENS));
    expect(rest).toMatch(/"finish_reason":"stop"\}\]\}\n\ndata: \[DONE\]\n\n$/);
    expect(events.at(-1)).toMatchObject({ end: { kind: "streamed" } });
  });

  it("gets an error event at its deadline, and the attempt ends", async () => {
    // The core does the same, in this order, at a deadline while the attempt waits for the caller to read.
    const { offset } = caller.tokens;
    runner.abort("r.1" as AttemptId);
    caller.finish({
      kind: "refused",
      refusal: createRefusal("deadline", { detail: "late", verdict: NOT_RUN }),
    });
    await Promise.all(runs);
    const { tokens, rest } = await readAll();
    expect(tokens).toEqual(tokenIds("r.1", 0, offset));
    expect(rest).toMatch(/^event: error\ndata: [^\n]*\n\n$/);
  });

  it("disconnects, and the attempt ends", async () => {
    response.destroy();
    await Promise.all(runs);
    await expect.poll(() => engineSockets[0]!.destroyed).toBe(true);
    expect(events.at(-1)).toMatchObject({ end: { kind: "lost" } });
  });

  it("gets nothing more from an attempt that was aborted while it waited", async () => {
    // The first attempt has more of its stream in the entry's buffers, including the end mark, and waits for
    // the caller. The second attempt starts before that wait is over.
    const { offset } = caller.tokens;
    runner.abort("r.1" as AttemptId);
    start(2);
    const { tokens, rest } = await readAll();
    await Promise.all(runs);
    expect(tokens).toEqual([
      ...tokenIds("r.1", 0, offset),
      ...tokenIds("r.2", offset, TOKENS),
    ]);
    expect(rest).toMatch(/data: \[DONE\]\n\n$/);
    const endEvents = events.filter(({ kind }) => kind === "attemptEnded");
    expect(endEvents).toMatchObject([
      { attempt: "r.1", end: { kind: "lost" } },
      { attempt: "r.2", end: { kind: "streamed" } },
    ]);
  });
});
