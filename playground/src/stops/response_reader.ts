/**
 * Reads the answers on a connection without an HTTP library, and tells whole answers from those that were cut.
 *
 * @module
 */

const HEAD_END = "\r\n\r\n";
const FIRST_FINAL_STATUS = 200;

/** A whole answer. */
export interface ReadAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** `performance.now()` when its last byte arrived. */
  readonly at: number;
}

/** Parses what arrives on one connection. */
export class ResponseReader {
  readonly answers: ReadAnswer[] = [];
  #text = "";

  /** Whether an answer has begun and is not whole. */
  get isWithinAnswer(): boolean {
    return this.#text.length > 0;
  }

  add(bytes: Uint8Array): void {
    this.#text += Buffer.from(bytes).toString("latin1");
    let answer = this.#takeAnswer();
    while (answer !== undefined) {
      if (answer.status >= FIRST_FINAL_STATUS) {
        this.answers.push(answer);
      }
      answer = this.#takeAnswer();
    }
  }

  #takeAnswer(): ReadAnswer | undefined {
    const headEnd = this.#text.indexOf(HEAD_END);
    if (headEnd < 0) {
      return undefined;
    }
    const [statusLine, ...lines] = this.#text.slice(0, headEnd).split("\r\n");
    const headers = new Map(lines.map((line) => {
      const colon = line.indexOf(":");
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const rest = this.#text.slice(headEnd + HEAD_END.length);
    const read = headers.get("transfer-encoding") === "chunked"
      ? readChunks(rest)
      : readLength(rest, Number(headers.get("content-length") ?? 0));
    if (read === undefined) {
      return undefined;
    }
    this.#text = rest.slice(read.length);
    const status = Number(statusLine!.split(" ")[1]);
    return { status, headers, body: read.body, at: performance.now() };
  }
}

interface ReadBody {
  readonly body: string;
  /** Length with its framing. */
  readonly length: number;
}

function readLength(text: string, length: number): ReadBody | undefined {
  return text.length < length
    ? undefined
    : { body: text.slice(0, length), length };
}

function readChunks(text: string): ReadBody | undefined {
  let at = 0;
  let body = "";
  while (true) {
    const lineEnd = text.indexOf("\r\n", at);
    if (lineEnd < 0) {
      return undefined;
    }
    const size = parseInt(text.slice(at, lineEnd), 16);
    const next = lineEnd + 2 + size + 2;
    if (text.length < next) {
      return undefined;
    }
    if (size === 0) {
      return { body, length: next };
    }
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    at = next;
  }
}
