/**
 * Streams of frames as engines write them, byte by byte, and what a caller may get of them.
 *
 * @module
 */
import type { Socket } from "node:net";
import { CompletionFormat } from "../../callers/chat_format.ts";
import type { CallerAnswer, SeenAttempt } from "./entry_fixture.ts";

/** The tokens of each answer: of several bytes, of several lines, with signs of JSON and of events. */
export const TOKENS: readonly string[] = [
  "grüß",
  " 😀",
  "\n\n",
  'data: "x"',
  "\r\n",
  " {}",
  "end",
];

/** How an engine writes its stream. */
export interface Writing {
  readonly framing: "chunked" | "length" | "closing";
  readonly newline: "\n" | "\r\n";
  /** Whether comments and other fields stand between and in events. */
  readonly chatty: boolean;
}

/** All ways of writing. */
export const WRITINGS: readonly Writing[] =
  (["chunked", "length", "closing"] as const)
    .flatMap((framing) =>
      (["\n", "\r\n"] as const).flatMap((newline) =>
        [false, true].map((chatty) => ({ framing, newline, chatty }))
      )
    );

/** Ways in which a connection stops. */
export const STOPS: Readonly<Record<string, (socket: Socket) => void>> = {
  closed: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
  "reset later": (socket) => setTimeout(() => socket.resetAndDestroy(), 3),
};

/** The frames of an attempt from the token that it asks for, the end mark as the last. */
export function framesOf({ id, startAt }: SeenAttempt): string[] {
  const frames = TOKENS.map((token, offset) => ({ id, offset, token }))
    .slice(startAt);
  const end = { id, offset: TOKENS.length, done: true };
  return [...frames, end].map((frame) => JSON.stringify(frame));
}

/** Events of frames. */
export function eventsOf(
  frames: readonly string[],
  { newline, chatty }: Writing,
): string[] {
  return frames.map((frame, index) => {
    const lines = chatty
      ? [": still here", `id: ${index}`, `data: ${frame}`, ": 😀", "", ""]
      : [`data: ${frame}`, "", ""];
    return lines.join(newline);
  });
}

/** A whole response. */
export function responseOf(
  frames: readonly string[],
  writing: Writing,
): { bytes: Buffer; firstEventEnds: number } {
  const { framing } = writing;
  const events = eventsOf(frames, writing).map((event) => Buffer.from(event));
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
  return { bytes, firstEventEnds: head.length + (parts[0]?.length ?? 0) };
}

/** Writes bytes in pieces of `size`. */
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
 * What a caller got: `whole`, `broken` in sight after a whole event, `refused`, or, for everything that no
 * caller may get, `bad` with the text.
 */
export function judge(answer: CallerAnswer, startAt = 0): string {
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

/** The same for a completion that was held until whole. */
export function judgeHeld(answer: CallerAnswer): string {
  if (answer.status !== 200) {
    return judge(answer);
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
