/**
 * A caller that records every byte of a stream and how the stream ended.
 *
 * @module
 */
import { type Agent, request } from "node:http";
import { HEADERS } from "@sassafrasstep/platform";
import type { SeenAnswer } from "./event_text.ts";

/** A caller's request for a stream. */
export interface StreamRequest {
  readonly call: string;
  readonly path: string;
  readonly host?: string;
  /** Timeout that the caller states, in milliseconds. */
  readonly time?: number;
  /** Milliseconds that the caller waits beyond the stated timeout. */
  readonly patience?: number;
  /** Number of the last event that the caller has, or another value for the last event id. */
  readonly after?: number | string;
  /** The call that brought the first event, as the caller names it. */
  readonly resumes?: string;
  /** Agent that keeps connections alive; without it the connection is not reused. */
  readonly agent?: Agent;
  /** Makes the caller leave before the end. */
  readonly leave?: AbortSignal;
  /** Called for received bytes; reading pauses until a returned promise resolves. */
  readonly onBytes?: (bytes: number) => Promise<void> | void;
}

const DEFAULT_TIMEOUT_MS = 10_000;
const DEFAULT_GRACE_MS = 1_500;

/** Sends the request and reads the answer to its end. */
export function askStream(
  address: string,
  {
    call,
    path,
    host = "kiosk.example",
    time = DEFAULT_TIMEOUT_MS,
    patience = DEFAULT_GRACE_MS,
    after,
    resumes,
    agent,
    leave,
    onBytes,
  }: StreamRequest,
): Promise<SeenAnswer> {
  const colon = address.lastIndexOf(":");
  return new Promise((resolve) => {
    let status = 0;
    const parts: Buffer[] = [];
    const finish = (kind: SeenAnswer["end"]): void => {
      clearTimeout(timer);
      resolve({ status, body: Buffer.concat(parts).toString(), end: kind });
      if (kind !== "whole") {
        clientRequest.destroy();
      }
    };
    const fail = (): void => finish(leave?.aborted ? "left" : "broken");
    const clientRequest = request({
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
        ...(resumes === undefined ? {} : { [HEADERS.resumedCall]: resumes }),
      },
    }, (answer) => {
      status = answer.statusCode!;
      answer.on("data", (bytes: Buffer) => {
        parts.push(bytes);
        const readPause = onBytes?.(bytes.length);
        if (readPause !== undefined) {
          answer.pause();
          void readPause.then(() => answer.resume());
        }
      });
      answer.on("end", () => finish(answer.complete ? "whole" : "broken"));
      answer.on("error", fail);
    });
    clientRequest.on("error", fail);
    clientRequest.end();
    const timer = setTimeout(() => finish("open"), time + patience);
  });
}
