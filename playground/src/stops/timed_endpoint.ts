/**
 * An endpoint whose runs take the time that their request names, for the platform and for the product's own interface.
 *
 * @module
 */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { HEADERS } from "@sassafrasstep/platform";

const EVENT_INTERVAL_MS = 50;
/** A call with the time of its run, as it stands in a path or a prompt. */
const CALL_PATTERN = /run-(\d+)-(call-[\w-]+)/;

/** One run of a call; times are `performance.now()`. */
export interface TimedRun {
  readonly call: string;
  readonly begunAt: number;
  /** When the whole answer was written, `undefined` if it was not. */
  endedAt: number | undefined;
}

/** An HTTP endpoint on loopback that records its runs. */
export class TimedEndpoint {
  readonly runs: TimedRun[] = [];
  readonly #server: Server = createServer((message, reply) =>
    void this.#receive(message, reply)
  );

  /** Starts listening; resolves with `host:port`. */
  async listen(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.#server.closeAllConnections();
    this.#server.close();
    await once(this.#server, "close");
  }

  async #receive(
    message: IncomingMessage,
    reply: ServerResponse,
  ): Promise<void> {
    const chunks: Uint8Array[] = [];
    try {
      for await (const chunk of message) {
        chunks.push(chunk);
      }
    } catch {
      return;
    }
    if (message.url === "/v1/load") {
      reply.end(
        JSON.stringify({ running: 0, slots: 64, model: "guest-8b@v1" }),
      );
      return;
    }
    const text = `${message.url}\n${Buffer.concat(chunks)}`;
    const match = CALL_PATTERN.exec(text);
    if (match === null) {
      reply.writeHead(404).end();
      return;
    }
    const run: TimedRun = {
      call: match[2]!,
      begunAt: performance.now(),
      endedAt: undefined,
    };
    this.runs.push(run);
    reply.once("finish", () => run.endedAt = performance.now());
    this.#answer(message, { reply, run, timeMs: Number(match[1]) });
  }

  #answer(
    { url, headers }: IncomingMessage,
    { reply, run, timeMs }: {
      reply: ServerResponse;
      run: TimedRun;
      timeMs: number;
    },
  ): void {
    const id = headers[HEADERS.callId];
    if (id !== undefined) {
      reply.setHeader(HEADERS.callId, id);
      reply.setHeader(HEADERS.seal, `s-${run.call}`);
    }
    const isGeneration = url === "/v1/generate";
    if (!isGeneration && headers[HEADERS.tokenCounts] === undefined) {
      setTimeout(() => reply.end(bodyOf(run.call)), timeMs);
      return;
    }
    reply.setHeader("content-type", "text/event-stream");
    const first = Number(
      headers["x-resume-offset"] ?? headers[HEADERS.lastEventId] ?? 0,
    );
    const count = eventCountOf(timeMs);
    const frameId = String(headers["x-request-id"]);
    let next = first;
    const timer = setInterval(() => {
      if (next < count) {
        const frame = { id: frameId, offset: next, token: "t" };
        next++;
        reply.write(`id: ${next}\ndata: ${JSON.stringify(frame)}\n\n`);
        return;
      }
      clearInterval(timer);
      const end = { id: frameId, offset: next, done: true };
      reply.end(isGeneration ? `data: ${JSON.stringify(end)}\n\n` : "");
    }, EVENT_INTERVAL_MS);
    reply.once("close", () => clearInterval(timer));
  }
}

/** Events of a stream whose run takes the given time. */
export function eventCountOf(timeMs: number): number {
  return Math.max(1, Math.round(timeMs / EVENT_INTERVAL_MS));
}

/** Body of a plain answer. */
export function bodyOf(call: string): string {
  return `answer to ${call}`;
}
