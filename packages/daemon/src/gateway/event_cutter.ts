/**
 * Cuts a stream of events at its event boundaries.
 *
 * An endpoint may end in the middle of an event. Passed on as they come, the bytes would leave the
 * caller with a torn event, and a resumed stream would begin inside it. One notices by events that do
 * not parse. So only whole events leave.
 *
 * @module
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** Line feed, carriage return, line feed. */
const LONGEST_BOUNDARY_BYTES = 3;

/** Whole events. */
export interface WholeEvents {
  readonly bytes: Buffer;
  /** Id of the first one that has an id. */
  readonly firstId: string | undefined;
  /** Id of the last one that has an id. */
  readonly lastId: string | undefined;
  /** Whether events with data and without an id follow that one. */
  readonly unnumbered: boolean;
}

/** Keeps the event that is not complete yet. One answer has one: what it keeps fits no other. */
export class EventCutter {
  #parts: Buffer[] = [];
  #size = 0;
  /** Whether they hold more than line ends. */
  #begun = false;
  /** The last bytes of the parts: a boundary may begin there. */
  #tail: Buffer = Buffer.alloc(0);
  /**
   * Comments that stand before the event to come. Passed on ahead of it, they would come again from the
   * next endpoint where the event is torn.
   */
  #comments: Buffer[] = [];
  #commentBytes = 0;

  /** Adds bytes; gives the events that they complete. */
  push(chunk: Buffer): WholeEvents | undefined {
    // Only what is new is searched: with the whole event each time, long ones would block the process.
    const searched = Buffer.concat([this.#tail, chunk]);
    const end = lastBoundary(searched) - this.#tail.length;
    if (end <= 0) {
      this.#keep(chunk, searched);
      return undefined;
    }
    const whole = Buffer.concat([...this.#parts, chunk.subarray(0, end)]);
    const rest = chunk.subarray(end);
    this.#parts = [];
    this.#size = 0;
    this.#begun = false;
    this.#keep(rest, rest);
    return this.#takeEvents(whole);
  }

  /** Bytes that are no whole event, and comments before the next one. */
  get rest(): Buffer {
    return Buffer.concat([...this.#comments, ...this.#parts]);
  }

  /** How many bytes are kept. */
  get size(): number {
    return this.#commentBytes + this.#size;
  }

  /** How many of them belong to an event that has begun. Blank lines after the last one begin none. */
  get unfinished(): number {
    return this.#begun ? this.#size : 0;
  }

  /** Keeps the comments behind the last event. */
  #takeEvents(whole: Buffer): WholeEvents | undefined {
    const text = whole.toString("latin1");
    const end = endOfEvents(text);
    if (end === 0) {
      // Searched anew with each one that follows, many comments would block the process.
      this.#keepComments(whole);
      return undefined;
    }
    const bytes = Buffer.concat([...this.#comments, whole.subarray(0, end)]);
    this.#comments = [];
    this.#commentBytes = 0;
    this.#keepComments(whole.subarray(end));
    return { bytes, ...positionOf(text.slice(0, end)) };
  }

  #keepComments(bytes: Buffer): void {
    this.#comments.push(bytes);
    this.#commentBytes += bytes.length;
  }

  #keep(bytes: Buffer, searched: Buffer): void {
    this.#parts.push(bytes);
    this.#size += bytes.length;
    this.#begun ||= !bytes.every(isLineEnd);
    this.#tail = searched.subarray(
      Math.max(0, searched.length - LONGEST_BOUNDARY_BYTES + 1),
    );
  }
}

function isLineEnd(byte: number): boolean {
  return byte === LINE_FEED || byte === CARRIAGE_RETURN;
}

/** The end of the last blank line, 0 where there is none. */
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

/** The end of the last event that is more than a comment, 0 where there is none. */
function endOfEvents(text: string): number {
  const last = [...text.matchAll(FIELD_LINE)].at(-1);
  if (last === undefined) {
    return 0;
  }
  const boundary = BLANK_LINE.exec(text.slice(last.index))!;
  return last.index + boundary.index + boundary[0].length;
}

function positionOf(text: string): Omit<WholeEvents, "bytes"> {
  const ids = [...text.matchAll(ID_LINE)];
  const last = ids.at(-1);
  const after = last === undefined ? text : text.slice(last.index);
  const later = last === undefined
    ? after
    : after.slice(after.search(BLANK_LINE));
  const firstId = idOf(ids[0]);
  const lastId = idOf(last);
  // An empty id takes the last one back: sent on, another endpoint would begin anew.
  return lastId === ""
    ? { firstId, lastId: undefined, unnumbered: true }
    : { firstId, lastId, unnumbered: DATA_LINE.test(later) };
}

function idOf(line: RegExpMatchArray | undefined): string | undefined {
  return line?.[1]?.trim();
}
