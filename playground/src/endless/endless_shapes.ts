/**
 * Answers that never end, by the part of the answer that goes on.
 *
 * @module
 */
import { HEADERS } from "@sassafrasstep/platform";

const BLOCK_BYTES = 16_384;
const LARGE_LENGTH = 1_000_000_000_000;
const FILLER = "a".repeat(BLOCK_BYTES);
/** Looks like a gzip stream, and is none. */
const COMPRESSED = `\x1f\x8b\x08${"\x7f\x03\xe9\x12".repeat(BLOCK_BYTES / 4)}`;
const SHORT_BODY = "short";

/** What an answer refers to. */
export interface AnswerContext {
  /** Id of the request, as the answer repeats it. */
  readonly call: string;
  /** Whether the answer states that it is an event stream. */
  readonly stream: boolean;
  /** Number of the first event. */
  readonly firstEvent: number;
}

/** The beginning of an answer, and the bytes that follow without end. */
export interface EndlessShape {
  readonly name: string;
  readonly start: (context: AnswerContext) => string;
  /** The bytes of the given round. */
  readonly more: (context: AnswerContext, round: number) => string;
}

function repeat(text: string): () => string {
  const block = text.repeat(Math.ceil(BLOCK_BYTES / text.length));
  return () => block;
}

function headOf(
  { call, stream }: AnswerContext,
  { status = "200 OK", fields = "" } = {},
): string {
  const type = stream ? "text/event-stream" : "text/plain";
  return `HTTP/1.1 ${status}\r\n${HEADERS.callId}: ${call}\r\n${HEADERS.seal}: s\r\ncontent-type: ${type}\r\n${fields}`;
}

const CHUNKED = "transfer-encoding: chunked\r\n\r\n";

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function wholeAnswer(context: AnswerContext): string {
  const fields = `content-length: ${SHORT_BODY.length}\r\n\r\n`;
  return `${headOf(context, { fields })}${SHORT_BODY}`;
}

/** A shape whose head is followed by the same bytes over and over. */
function after(name: string, fields: string, text: string): EndlessShape {
  return {
    name,
    start: (context) => headOf(context, { fields }),
    more: repeat(text),
  };
}

/** A failure whose body does not end. */
function failure(status: string, fields = ""): EndlessShape {
  return {
    name: `body of ${status}`,
    start: (context) =>
      headOf(context, { status, fields: `${fields}${CHUNKED}` }),
    more: repeat(chunk(FILLER)),
  };
}

/** Events that count on, in the format of the platform's streams and in that of the product's engines. */
function countedEvents(
  { call, firstEvent }: AnswerContext,
  { round, size }: { round: number; size: number },
): string {
  const count = 64;
  const token = "t".repeat(size);
  return Array.from({ length: count }, (_, index) => {
    const number = firstEvent + round * count + index;
    const data = JSON.stringify({ id: call, offset: number - 1, token });
    return `id: ${number}\ndata: ${data}\n\n`;
  }).join("");
}

/** All shapes. */
export const ENDLESS_SHAPES: readonly EndlessShape[] = [
  {
    name: "status line",
    start: () => "HTTP/1.1 2",
    more: repeat("0"),
  },
  {
    name: "reason",
    start: () => "HTTP/1.1 200 ",
    more: repeat("fine "),
  },
  {
    name: "header name",
    start: (context) => headOf(context),
    more: repeat("x"),
  },
  {
    name: "header value",
    start: (context) => headOf(context, { fields: "x-long: " }),
    more: repeat("v"),
  },
  {
    name: "headers",
    start: (context) => headOf(context),
    more: repeat("x-a: b\r\n"),
  },
  { name: "empty lines", start: () => "", more: repeat("\r\n") },
  {
    name: "interim responses",
    start: () => "",
    more: repeat("HTTP/1.1 102 Processing\r\n\r\n"),
  },
  {
    name: "interim responses with headers",
    start: () => "",
    more: repeat(
      `HTTP/1.1 103 Early Hints\r\nlink: </${
        "s".repeat(400)
      }>; rel=preload\r\n\r\n`,
    ),
  },
  after("zeros of a chunk size", CHUNKED, "0"),
  after("digits of a chunk size", CHUNKED, "1"),
  after("chunk extension", `${CHUNKED}5;x=`, "e"),
  after("chunks with extensions", CHUNKED, `1;${"y".repeat(120)}\r\na\r\n`),
  after("trailers", `${CHUNKED}1\r\na\r\n0\r\n`, "x-t: v\r\n"),
  after("trailer value", `${CHUNKED}1\r\na\r\n0\r\nx-t: `, "v"),
  after("body with length", `content-length: ${LARGE_LENGTH}\r\n\r\n`, FILLER),
  after(
    "body beyond its length",
    `content-length: ${SHORT_BODY.length}\r\n\r\n${SHORT_BODY}`,
    FILLER,
  ),
  after("chunked body", CHUNKED, chunk(FILLER)),
  after("body of small chunks", CHUNKED, chunk("ab")),
  after("body of chunks of a byte", CHUNKED, chunk("a")),
  after("events of a byte", CHUNKED, chunk("\n")),
  after("body until close", "\r\n", FILLER),
  after(
    "compressed body",
    `content-encoding: gzip\r\n${CHUNKED}`,
    chunk(COMPRESSED),
  ),
  after(
    "compressed body until close",
    "content-encoding: br\r\n\r\n",
    COMPRESSED,
  ),
  after(
    "data of one event",
    `${CHUNKED}${chunk("id: 1\ndata: ")}`,
    chunk(FILLER),
  ),
  after("lines of one event", CHUNKED, chunk("data: line\n".repeat(1_000))),
  after("comments", CHUNKED, chunk(": still there\n".repeat(1_000))),
  after("comment events", CHUNKED, chunk(": still there\n\n".repeat(1_000))),
  after("ids of one event", CHUNKED, chunk("id: 1\n".repeat(1_000))),
  after("blank lines of events", CHUNKED, chunk("\n".repeat(8_000))),
  after("fields without a name", CHUNKED, chunk("\r\n:\r".repeat(2_000))),
  {
    name: "small events",
    start: (context) => headOf(context, { fields: "\r\n" }),
    more: (context, round) => countedEvents(context, { round, size: 3 }),
  },
  {
    name: "large events",
    start: (context) => headOf(context, { fields: CHUNKED }),
    more: (context, round) =>
      chunk(countedEvents(context, { round, size: 2_000 })),
  },
  {
    name: "bytes after a whole answer",
    start: wholeAnswer,
    more: repeat(FILLER),
  },
  {
    name: "empty lines after a whole answer",
    start: wholeAnswer,
    more: repeat("\r\n"),
  },
  {
    name: "answers after a whole answer",
    start: wholeAnswer,
    more: (context) => wholeAnswer(context).repeat(100),
  },
  {
    name: "interim responses after a whole answer",
    start: wholeAnswer,
    more: repeat("HTTP/1.1 102 Processing\r\n\r\n"),
  },
  failure("500 Oops"),
  failure("503 Full", `${HEADERS.notRun}: 1\r\n`),
  failure("421 Elsewhere", `${HEADERS.notRun}: 1\r\n`),
  failure("429 Later", `${HEADERS.notRun}: 1\r\nretry-after: 0.1\r\n`),
  failure("404 Absent"),
];
