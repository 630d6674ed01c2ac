/**
 * Checks the protocol version of answers.
 *
 * @module
 */
import type { Socket } from "node:net";

const CARRIAGE_RETURN = 13;
const LINE_FEED = 10;
/** Length of the version, the blank after it and the first digit of the status. */
const MARK_LENGTH = 10;
const MARK = /^HTTP\/1\.[01] /;
const INTERIM_DIGIT = "1";

/** Where in an answer the next byte belongs. */
type Position =
  /** Before the status line, where empty lines are ignored. */
  | "before"
  | "statusLine"
  /** In the rest of the head of an interim response, which another head follows. */
  | "interim"
  /** After the version of the final response. */
  | "after";

/**
 * Checks that answers are HTTP/1.0 or HTTP/1.1. The HTTP parser also accepts HTTP/0.9, HTTP/2.0, RTSP and ICE, and does
 * not tell: an answer of another protocol would reach the caller as one of HTTP.
 */
export class VersionCheck {
  #position: Position = "before";
  #mark = "";
  #isLineEmpty = false;

  /** Starts over, for the next answer. */
  reset(): void {
    this.#position = "before";
    this.#mark = "";
  }

  /** Reads further bytes of an answer; returns whether its version is accepted so far. */
  accepts(chunk: Buffer): boolean {
    for (
      let index = 0;
      index < chunk.length && this.#position !== "after";
      index++
    ) {
      if (!this.#acceptsByte(chunk[index]!)) {
        return false;
      }
    }
    return true;
  }

  #acceptsByte(byte: number): boolean {
    const isLineEnd = byte === CARRIAGE_RETURN || byte === LINE_FEED;
    switch (this.#position) {
      case "before":
        return isLineEnd || this.#readMark(byte);
      case "statusLine":
        return this.#readMark(byte);
      case "interim":
        this.#readInterim(byte);
        return true;
      case "after":
        return true;
    }
  }

  #readMark(byte: number): boolean {
    this.#position = "statusLine";
    this.#mark += String.fromCharCode(byte);
    if (this.#mark.length < MARK_LENGTH) {
      return true;
    }
    this.#position = this.#mark.endsWith(INTERIM_DIGIT) ? "interim" : "after";
    this.#isLineEmpty = false;
    return MARK.test(this.#mark);
  }

  #readInterim(byte: number): void {
    if (byte === LINE_FEED && this.#isLineEmpty) {
      this.reset();
    } else if (byte !== CARRIAGE_RETURN) {
      this.#isLineEmpty = byte === LINE_FEED;
    }
  }
}

/**
 * Destroys a socket on which an answer of another version arrives, before the parser reads it. The check that is
 * returned must be reset before each request.
 */
export function watchVersion(socket: Socket): VersionCheck {
  const check = new VersionCheck();
  const read = socket.read.bind(socket);
  socket.read = (size): unknown => {
    const chunk = read(size) as Buffer | null;
    if (chunk !== null && !check.accepts(chunk)) {
      socket.destroy(new Error("Answer is neither HTTP/1.0 nor HTTP/1.1"));
      return null;
    }
    return chunk;
  };
  return check;
}
