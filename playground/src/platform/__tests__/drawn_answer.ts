import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { HEADERS } from "@sassafrasstep/platform";
import fc from "fast-check";

/** An answer that no contract of endpoints excludes, however odd: it states nothing false about whether it ran. */
export interface DrawnAnswer {
  readonly status: number;
  /** Whether the endpoint runs the request. */
  readonly runs: boolean;
  /** Whether it states that it did not, which is drawn for requests alone that it does not run. */
  readonly marked: boolean;
  readonly sealed: boolean;
  readonly id: "own" | "none" | "other";
  readonly framing: "length" | "chunked" | "close";
  /** Fraction of its bytes after which the connection ends, 1 for a whole answer. */
  readonly part: number;
  readonly reset: boolean;
  /** Whether an answer to the request before comes first. */
  readonly extraBefore: "none" | "refusal" | "success" | "failure";
  /** Whether bytes come after the answer. */
  readonly extraAfter: boolean;
}

/** The answer of a sound endpoint. */
export const SOUND_ANSWER: DrawnAnswer = {
  status: 200,
  runs: true,
  marked: false,
  sealed: true,
  id: "own",
  framing: "length",
  part: 1,
  reset: false,
  extraBefore: "none",
  extraAfter: false,
};

const ODD_ANSWER = fc.record<DrawnAnswer>({
  status: fc.constantFrom(
    200,
    200,
    204,
    400,
    404,
    408,
    421,
    429,
    500,
    503,
    504,
  ),
  runs: fc.boolean(),
  marked: fc.boolean(),
  sealed: fc.boolean(),
  id: fc.constantFrom("own", "own", "none", "other"),
  framing: fc.constantFrom("length", "chunked", "close"),
  part: fc.oneof(fc.constant(1), fc.double({ min: 0, max: 1, noNaN: true })),
  reset: fc.boolean(),
  extraBefore: fc.constantFrom("none", "none", "refusal", "success", "failure"),
  extraAfter: fc.boolean(),
}).map(withoutFalseStatements);

/** Mostly sound answers, so that odd ones arrive on connections and at endpoints that are in use. */
export const DRAWN_ANSWER: fc.Arbitrary<DrawnAnswer> = fc.oneof(
  { weight: 2, arbitrary: fc.constant(SOUND_ANSWER) },
  { weight: 1, arbitrary: ODD_ANSWER },
);

/** Only a request that did not run is marked, or called misdirected without a seal. */
function withoutFalseStatements(answer: DrawnAnswer): DrawnAnswer {
  const saysNotRun = answer.marked ||
    (answer.status === 421 && !answer.sealed);
  return { ...answer, runs: answer.runs && !saysNotRun };
}

/** Body of the answer to a call. */
export function bodyOf(call: string): string {
  return `answer to ${call}`;
}

/** An endpoint that gives each call the answer that was drawn for it. */
export class DrawnEndpoint {
  /** Answers by call, a sound one for a call without. */
  readonly answers = new Map<string, DrawnAnswer>();
  /** Ids of the calls that ran, in order. */
  readonly runs: string[] = [];
  /** Ids of the calls that arrived, in order. */
  readonly arrivals: string[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #server = createServer((socket) => this.#accept(socket));

  /** Starts listening; resolves with `host:port`. */
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

  #accept(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on("close", () => this.#sockets.delete(socket));
    socket.on("error", () => {});
    let text = "";
    let previous: string | undefined;
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      if (text.includes("\r\n\r\n")) {
        const call = new RegExp(`^${HEADERS.callId}: (.*)\r$`, "im")
          .exec(text)![1]!;
        text = "";
        this.#answer(socket, { call, previous });
        previous = call;
      }
    });
  }

  #answer(
    socket: Socket,
    { call, previous }: { call: string; previous: string | undefined },
  ): void {
    const answer = this.answers.get(call) ?? SOUND_ANSWER;
    this.arrivals.push(call);
    if (answer.runs) {
      this.runs.push(call);
    }
    if (previous !== undefined) {
      socket.write(extraAnswer(answer.extraBefore, previous));
    }
    const bytes = formatAnswer(answer, call);
    const isWhole = answer.part === 1;
    socket.write(bytes.slice(0, Math.floor(answer.part * bytes.length)), () => {
      if (isWhole && answer.extraAfter) {
        socket.write(extraAnswer("success", call));
      } else if (!isWhole && answer.reset) {
        socket.resetAndDestroy();
      } else if (!isWhole || answer.framing === "close") {
        socket.end();
      }
    });
  }
}

function extraAnswer(
  kind: DrawnAnswer["extraBefore"] | "success",
  call: string,
): string {
  switch (kind) {
    case "none":
      return "";
    case "refusal":
      return `HTTP/1.1 503 Full\r\n${HEADERS.notRun}: 1\r\ncontent-length: 0\r\n\r\n`;
    case "success":
      return formatAnswer(SOUND_ANSWER, call);
    case "failure":
      return "HTTP/1.1 503 Failed\r\ncontent-length: 0\r\n\r\n";
  }
}

function formatAnswer(
  { status, marked, sealed, id, framing }: DrawnAnswer,
  call: string,
): string {
  const body = status === 204 ? "" : bodyOf(call);
  const lines = [
    `HTTP/1.1 ${status} Drawn`,
    ...(marked ? [`${HEADERS.notRun}: 1`] : []),
    ...(sealed ? [`${HEADERS.seal}: seal-${call}`] : []),
    ...(id === "none"
      ? []
      : [`${HEADERS.callId}: ${id === "own" ? call : "another"}`]),
  ];
  if (status === 204) {
    return `${lines.join("\r\n")}\r\n\r\n`;
  }
  switch (framing) {
    case "length":
      lines.push(`content-length: ${body.length}`);
      return `${lines.join("\r\n")}\r\n\r\n${body}`;
    case "chunked":
      lines.push("transfer-encoding: chunked");
      return `${lines.join("\r\n")}\r\n\r\n${
        body.length.toString(16)
      }\r\n${body}\r\n0\r\n\r\n`;
    case "close":
      lines.push("connection: close");
      return `${lines.join("\r\n")}\r\n\r\n${body}`;
  }
}
