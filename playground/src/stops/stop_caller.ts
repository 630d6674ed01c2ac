/**
 * Callers that send at given times around a planned stop, on new and on kept connections.
 *
 * @module
 */
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { type ReadAnswer, ResponseReader } from "./response_reader.ts";

const BODY_PIECES = 8;
const PATIENCE_MS = 14_000;

/** One request as text. */
export interface TimedRequest {
  readonly call: string;
  readonly head: string;
  readonly body: string;
}

/** Requests that are sent at once on one connection. */
export interface TimedSend {
  readonly address: string;
  readonly requests: readonly TimedRequest[];
  /** `performance.now()` of the first byte. */
  readonly at: number;
  /** How long the connection is open before, `undefined` to connect for the request. */
  readonly openBeforeMs: number | undefined;
  /** Request that is answered on a connection before, so that it is kept. */
  readonly warmUp: string;
  /** Time over which the body of the last request is sent. */
  readonly bodyMs: number;
}

/** What became of one request. */
export interface SeenOutcome {
  readonly call: string;
  /** `performance.now()` at which it was to be sent. */
  readonly beganAt: number;
  /** `performance.now()` after the last byte was written, `undefined` if it could not be. */
  readonly sentAt: number | undefined;
  readonly answer: ReadAnswer | undefined;
  /** Whether the connection ended within the answer. */
  readonly cut: boolean;
  readonly endedAt: number;
  /** When the answer before it on the connection was whole: none can come sooner. `undefined` if it never was. */
  readonly freeAt: number | undefined;
}

/** Sends the requests and reads until all are answered or the connection is closed. */
export async function sendTimed(send: TimedSend): Promise<SeenOutcome[]> {
  const { requests, at, openBeforeMs = 0 } = send;
  await sleepUntil(at - openBeforeMs);
  const colon = send.address.lastIndexOf(":");
  const socket = connect({
    host: send.address.slice(0, colon),
    port: Number(send.address.slice(colon + 1)),
  });
  socket.setNoDelay(true);
  const warmUps = send.openBeforeMs === undefined ? 0 : 1;
  const reader = new ResponseReader();
  let closed = false;
  const ended = Promise.race([
    once(socket, "close").catch(() => {}),
    new Promise<void>((resolve) => {
      socket.on("data", (bytes) => {
        reader.add(bytes);
        if (reader.answers.length >= warmUps + requests.length) {
          resolve();
        }
      });
    }),
    sleepUntil(at + PATIENCE_MS),
  ]);
  socket.on("error", () => {});
  socket.on("close", () => closed = true);
  if (warmUps > 0) {
    socket.write(send.warmUp);
  }
  await sleepUntil(at);
  const headAt = closed ? undefined : performance.now();
  const sentAt = closed ? undefined : await write(socket, send);
  await ended;
  const endedAt = performance.now();
  socket.destroy();
  return requests.map(({ call }, index) => ({
    call,
    beganAt: at,
    sentAt: index < requests.length - 1 ? headAt : sentAt,
    answer: reader.answers[warmUps + index],
    cut: warmUps + index === reader.answers.length && reader.isWithinAnswer,
    endedAt,
    freeAt: index === 0 ? at : reader.answers[warmUps + index - 1]?.at,
  }));
}

/** Writes the requests; resolves with the time of the last byte. */
async function write(
  socket: Socket,
  { requests, bodyMs }: TimedSend,
): Promise<number | undefined> {
  const last = requests.at(-1)!;
  const before = requests.slice(0, -1).map(({ head, body }) => head + body);
  socket.write(before.join("") + last.head);
  const size = Math.ceil(last.body.length / BODY_PIECES);
  for (let at = 0; at < last.body.length; at += size) {
    if (bodyMs > 0) {
      await sleepUntil(performance.now() + bodyMs / BODY_PIECES);
    }
    if (socket.destroyed) {
      return undefined;
    }
    socket.write(last.body.slice(at, at + size));
  }
  return performance.now();
}

async function sleepUntil(at: number): Promise<void> {
  const timeMs = at - performance.now();
  if (timeMs > 0) {
    await new Promise((done) => setTimeout(done, timeMs));
  }
}
