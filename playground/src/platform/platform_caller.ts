/**
 * An HTTP client that sends requests as callers of the platform do.
 *
 * @module
 */
import { HEADERS } from "@sassafrasstep/platform";
import { type Dispatcher, request } from "undici";

/** A response, read to its end. */
export interface PlatformAnswer {
  readonly status: number;
  readonly headers: Dispatcher.ResponseData["headers"];
  readonly body: string;
}

/** Sends one request and reads the whole response. */
export async function callPlatform(
  address: string,
  { path, call, tokens, body, dispatcher, headers = {} }: {
    path: string;
    call: string;
    tokens?: string;
    body?: string;
    dispatcher?: Dispatcher;
    headers?: Record<string, string>;
  },
): Promise<PlatformAnswer> {
  const answer = await request(`http://${address}${path}`, {
    method: body === undefined ? "GET" : "POST",
    body: body ?? null,
    ...(dispatcher === undefined ? {} : { dispatcher }),
    headers: {
      host: "kiosk.example",
      [HEADERS.callId]: call,
      [HEADERS.timeLeft]: "3000",
      ...(tokens === undefined ? {} : { [HEADERS.tokenCounts]: tokens }),
      ...headers,
    },
  });
  return {
    status: answer.statusCode,
    headers: answer.headers,
    body: await answer.body.text(),
  };
}
