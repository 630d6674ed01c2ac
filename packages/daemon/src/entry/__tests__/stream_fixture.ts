/**
 * Writes frame streams byte by byte as engines do, and classifies what a caller received of them.
 *
 * @module
 */
import type { Socket } from "node:net";
import { CompletionFormat } from "../../callers/chat_format.ts";
import type { CallerAnswer, ReceivedAttempt } from "./entry_fixture.ts";

/** Tokens of each answer: multi-byte, multi-line, and with characters of JSON and of SSE. */
export const TOKENS: readonly string[] = [
  "grüß",
  " 😀",
  "\n\n",
  'data: "x"',
  "\r\n",
  " {}",
  "end",
];

/** Encoding that an engine uses for its stream. */
export interface StreamEncoding {
  readonly framing: "chunked" | "length" | "closing";
  readonly newline: "\n" | "\r\n";
  /** Whether comments and extra fields stand between and inside events. */
  readonly extras: boolean;
}

/** All combinations of framing, newline and extra fields. */
export const STREAM_ENCODINGS: readonly StreamEncoding[] =
  (["chunked", "length", "closing"] as const)
    .flatMap((framing) =>
      (["\n", "\r\n"] as const).flatMap((newline) =>
        [false, true].map((extras) => ({ framing, newline, extras }))
      )
    );

/** Ways in which a connection ends. */
export const CONNECTION_ENDS: Readonly<
  Record<string, (socket: Socket) => void>
> = {
  closed: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
  "reset later": (socket) => setTimeout(() => socket.resetAndDestroy(), 3),
};

/** Returns an attempt's frames from its first requested token, followed by the end mark. */
export function framesOf({ id, startAt }: ReceivedAttempt): string[] {
  const frames = TOKENS.map((token, offset) => ({ id, offset, token }))
    .slice(startAt);
  const end = { id, offset: TOKENS.length, done: true };
  return [...frames, end].map((frame) => JSON.stringify(frame));
}

/** Encodes each frame as an SSE event. */
export function eventsOf(
  frames: readonly string[],
  { newline, extras }: StreamEncoding,
): string[] {
  return frames.map((frame, index) => {
    const lines = extras
      ? [": still here", `id: ${index}`, `data: ${frame}`, ": 😀", "", ""]
      : [`data: ${frame}`, "", ""];
    return lines.join(newline);
  });
}

/** Encodes a complete HTTP response with the frames as its body. */
export function responseOf(
  frames: readonly string[],
  encoding: StreamEncoding,
): { bytes: Buffer; firstEventEnd: number } {
  const { framing } = encoding;
  const events = eventsOf(frames, encoding).map((event) => Buffer.from(event));
  const body = Buffer.concat(events);
  const lines = {
    chunked: "transfer-encoding: chunked",
    length: `content-length: ${body.length}`,
    closing: "connection: close",
  };
  const head = Buffer.from(
    `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n${
      lines[framing]
    }\r\n\r\n`,
  );
  const parts = framing === "chunked"
    ? [...events.map(toChunk), Buffer.from("0\r\n\r\n")]
    : events;
  const bytes = Buffer.concat([head, ...parts]);
  return { bytes, firstEventEnd: head.length + (parts[0]?.length ?? 0) };
}

/** Writes bytes in pieces of at most `size` bytes. */
export async function writePieces(
  socket: Socket,
  bytes: Buffer,
  size: number,
): Promise<void> {
  for (let at = 0; at < bytes.length; at += size) {
    socket.write(bytes.subarray(at, at + size));
    if (size < bytes.length) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

/**
 * Classifies a caller's answer: `whole`, `broken` (with a visible error after a complete event), `refused`, or
 * `bad` with the text for anything that no caller may receive.
 */
export function classifyAnswer(answer: CallerAnswer, startAt = 0): string {
  const { status, text, broken, header } = answer;
  if (status !== 200) {
    const isProblem = header("content-type") === "application/problem+json";
    return isProblem && !broken ? "refused" : `bad: ${status} ${text}`;
  }
  const createdAt = Number(/"created":(\d+)/.exec(text)?.[1]);
  const request = header("sassafrasstep-request");
  const format = new CompletionFormat({ request, model: "", createdAt });
  let rest = text;
  let offset = startAt;
  for (; offset < TOKENS.length; offset++) {
    const event = format.tokens({ offset, tokens: [TOKENS[offset]!] });
    if (!rest.startsWith(event)) {
      break;
    }
    rest = rest.slice(event.length);
  }
  if (offset === TOKENS.length && rest === format.end() && !broken) {
    return "whole";
  }
  const isError = /^event: error\ndata: [^\n]*\n\n$/.test(rest);
  return isError || (rest === "" && broken) ? "broken" : `bad: ${text}`;
}

/** Classifies the answer to a request without streaming. */
export function classifyWholeAnswer(answer: CallerAnswer): string {
  if (answer.status !== 200) {
    return classifyAnswer(answer);
  }
  const { choices } = JSON.parse(answer.text) as {
    choices: { message: { content: string } }[];
  };
  const text = choices[0]!.message.content;
  return text === TOKENS.join("") ? "whole" : `bad: ${text}`;
}

function toChunk(bytes: Buffer): Buffer {
  return Buffer.concat([
    Buffer.from(`${bytes.length.toString(16)}\r\n`),
    bytes,
    Buffer.from("\r\n"),
  ]);
}
