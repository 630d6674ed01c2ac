/**
 * A caller that keeps every byte of a stream, and how it ended.
 *
 * @module
 */
import { type Agent, request } from "node:http";
import { HEADERS } from "@sassafrasstep/platform";
import type { SeenAnswer } from "./event_text.ts";

/** What a caller asks. */
export interface StreamQuestion {
  readonly call: string;
  readonly path: string;
  readonly host?: string;
  /** Milliseconds that the caller waits. */
  readonly time?: number;
  /** Milliseconds that it waits longer than it says. */
  readonly patience?: number;
  /** Last event that it has, or what it says in its place. */
  readonly after?: number | string;
  /** Keeps its connections; none is kept without it. */
  readonly agent?: Agent;
  /** Has it leave before the end. */
  readonly leave?: AbortSignal;
  /** Told of bytes as they come; a promise holds further reading back. */
  readonly onBytes?: (bytes: number) => Promise<void> | void;
}

const DEFAULT_TIME_MS = 10_000;
const DEFAULT_PATIENCE_MS = 1_500;

/** Asks, and reads to the end. */
export function askStream(
  address: string,
  {
    call,
    path,
    host = "kiosk.example",
    time = DEFAULT_TIME_MS,
    patience = DEFAULT_PATIENCE_MS,
    after,
    agent,
    leave,
    onBytes,
  }: StreamQuestion,
): Promise<SeenAnswer> {
  const colon = address.lastIndexOf(":");
  return new Promise((resolve) => {
    let status = 0;
    const parts: Buffer[] = [];
    const end = (kind: SeenAnswer["end"]): void => {
      clearTimeout(timer);
      resolve({ status, body: Buffer.concat(parts).toString(), end: kind });
      if (kind !== "whole") {
        asked.destroy();
      }
    };
    const fail = (): void => end(leave?.aborted ? "left" : "broken");
    const asked = request({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
      path,
      method: "POST",
      agent: agent ?? false,
      signal: leave,
      headers: {
        host,
        [HEADERS.callId]: call,
        [HEADERS.timeLeft]: String(time),
        [HEADERS.tokenCounts]: "10,100",
        "content-length": 0,
        ...(after === undefined
          ? {}
          : { [HEADERS.lastEventId]: String(after) }),
      },
    }, (answer) => {
      status = answer.statusCode!;
      answer.on("data", (bytes: Buffer) => {
        parts.push(bytes);
        const held = onBytes?.(bytes.length);
        if (held !== undefined) {
          answer.pause();
          void held.then(() => answer.resume());
        }
      });
      answer.on("end", () => end(answer.complete ? "whole" : "broken"));
      answer.on("error", fail);
    });
    asked.on("error", fail);
    asked.end();
    const timer = setTimeout(() => end("open"), time + patience);
  });
}
