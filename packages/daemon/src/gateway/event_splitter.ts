/**
 * Splits an event stream at its event boundaries.
 *
 * An endpoint may fail in the middle of an event. If bytes were forwarded as they arrive, the caller would be
 * left with a truncated event, a resumed stream would continue inside it, and the caller could not parse the
 * result. Therefore only complete events are forwarded.
 *
 * @module
 */

import { ChunkList } from "../sockets/index.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Line feed, carriage return, line feed. */
const MAX_BOUNDARY_BYTES = 3;

/** One or more complete events. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the first event that has one. */
  readonly firstId: string | undefined;
  /** Id of the last event that has one. */
  readonly lastId: string | undefined;
  /** Whether events with data but without an id follow the event with `lastId`. */
  readonly unnumbered: boolean;
}

/** Buffers the incomplete event at the end of the stream. Belongs to one answer and must not be reused. */
export class EventSplitter {
  /** Bytes after the last event boundary. */
  readonly #pending = new ChunkList();
  /** Whether the pending chunks contain anything but line ends. */
  #eventStarted = false;
  /** The last pending bytes, in which an event boundary may begin. */
  #tail: Buffer = Buffer.alloc(0);
  /**
   * Comments that precede the next event. If they were forwarded ahead of it and the event is then truncated,
   * the next endpoint would send them again.
   */
  readonly #comments = new ChunkList();

  /** Adds bytes and returns the events that they complete. */
  push(chunk: Buffer): CompleteEvents | undefined {
    if (this.#pending.length === 0 && endsWithBlankLine(chunk)) {
      return this.#extractEvents(chunk);
    }
    // Only new bytes are searched: searching the entire event each time would block the process on long
    // events.
    const searched = Buffer.concat([this.#tail, chunk]);
    const end = lastBoundary(searched) - this.#tail.length;
    if (end <= 0) {
      this.#buffer(chunk, searched);
      return undefined;
    }
    this.#pending.add(chunk.subarray(0, end));
    const complete = this.#pending.take();
    const rest = chunk.subarray(end);
    this.#eventStarted = false;
    this.#buffer(rest, rest);
    return this.#extractEvents(complete);
  }

  /** All buffered bytes: the comments before the next event, and the incomplete event. */
  get remainder(): Buffer {
    return Buffer.concat([this.#comments.copy(), this.#pending.copy()]);
  }

  /** Number of buffered bytes. */
  get bufferedBytes(): number {
    return this.#comments.length + this.#pending.length;
  }

  /** Number of buffered bytes of an incomplete event. Blank lines after the last event do not start one. */
  get unfinishedBytes(): number {
    return this.#eventStarted ? this.#pending.length : 0;
  }

  /** Returns the events and buffers the comments that follow the last one. */
  #extractEvents(complete: Buffer): CompleteEvents | undefined {
    const text = complete.toString("latin1");
    const end = endOfEvents(text);
    if (end === 0) {
      // Set aside: searching them again with each following comment would block the process.
      this.#comments.add(complete);
      return undefined;
    }
    if (this.#comments.length === 0 && end === complete.length) {
      return { bytes: complete, ...readIds(text) };
    }
    this.#comments.add(complete.subarray(0, end));
    const bytes = this.#comments.take();
    this.#comments.add(complete.subarray(end));
    return { bytes, ...readIds(text.slice(0, end)) };
  }

  #buffer(bytes: Buffer, searched: Buffer): void {
    this.#pending.add(bytes);
    this.#eventStarted ||= !bytes.every(isLineEnd);
    this.#tail = searched.subarray(
      Math.max(0, searched.length - MAX_BOUNDARY_BYTES + 1),
    );
  }
}

/** Whether bytes end with a blank line that begins within them. */
function endsWithBlankLine(bytes: Buffer): boolean {
  return bytes.length > 1 && bytes[bytes.length - 1] === LINE_FEED &&
    bytes[bytes.length - 2] === LINE_FEED;
}

function isLineEnd(byte: number): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

/** Returns the offset after the last blank line, or 0 if there is none. */
function lastBoundary(bytes: Buffer): number {
  for (let index = bytes.length - 1; index > 0; index--) {
    if (bytes[index] !== LINE_FEED) {
      continue;
    }
    const before = bytes[index - 1] === CARRIAGE_RETURN ? index - 2 : index - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) {
      return index + 1;
    }
  }
  return 0;
}

const FIELD_LINE = /^[^:\r\n]/gm;
const ID_LINE = /^id:(.*)$/gm;
const DATA_LINE = /^data/m;
const BLANK_LINE = /\n\r?\n/;
const BLANK_LINE_END = "\n\n";
const ID_FIELD = "id:";

/** Returns the offset after the last event that is more than a comment, or 0 if there is none. */
function endOfEvents(text: string): number {
  if (endsWithField(text)) {
    return text.length;
  }
  const last = [...text.matchAll(FIELD_LINE)].at(-1);
  if (last === undefined) {
    return 0;
  }
  const boundary = BLANK_LINE.exec(text.slice(last.index))!;
  return last.index + boundary.index + boundary[0].length;
}

/** Whether the last line before a blank line at the end is more than a comment. */
function endsWithField(text: string): boolean {
  if (!text.endsWith(BLANK_LINE_END)) {
    return false;
  }
  const lineEnd = text.length - BLANK_LINE_END.length;
  const first = text[text.lastIndexOf("\n", lineEnd - 1) + 1];
  return first !== ":" && first !== "\n" && first !== "\r";
}

type EventIds = Omit<CompleteEvents, "bytes">;

/**
 * Reads the id of a single event as most endpoints send it: without carriage returns and with one id that isn't empty.
 * Returns `undefined` for any other text.
 */
function readSingleId(text: string): EventIds | undefined {
  const isSingle = text.indexOf(BLANK_LINE_END) ===
      text.length - BLANK_LINE_END.length && !text.includes("\r");
  const start = text.startsWith(ID_FIELD)
    ? 0
    : text.indexOf(`\n${ID_FIELD}`) + 1;
  if (!isSingle || start === 0 && !text.startsWith(ID_FIELD)) {
    return undefined;
  }
  const end = text.indexOf("\n", start);
  const id = text.slice(start + ID_FIELD.length, end).trim();
  return id === "" || text.includes(`\n${ID_FIELD}`, end)
    ? undefined
    : { firstId: id, lastId: id, unnumbered: false };
}

function readIds(text: string): EventIds {
  return readSingleId(text) ?? readAnyIds(text);
}

function readAnyIds(text: string): EventIds {
  const ids = [...text.matchAll(ID_LINE)];
  const last = ids.at(-1);
  const fromLastId = last === undefined ? text : text.slice(last.index);
  const afterLastId = last === undefined
    ? fromLastId
    : fromLastId.slice(fromLastId.search(BLANK_LINE));
  const firstId = parseIdLine(ids[0]);
  const lastId = parseIdLine(last);
  // An empty id resets the last id. Resuming with it would make another endpoint restart the stream.
  return lastId === ""
    ? { firstId, lastId: undefined, unnumbered: true }
    : { firstId, lastId, unnumbered: DATA_LINE.test(afterLastId) };
}

function parseIdLine(line: RegExpMatchArray | undefined): string | undefined {
  return line?.[1]?.trim();
}
