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

/** Whole events. */
export interface WholeEvents {
  readonly bytes: Buffer;
  /** Id of the last one that has an id. */
  readonly lastId: string | undefined;
  /** Whether events with data and without an id follow that one. */
  readonly unnumbered: boolean;
}

/** Keeps the event that is not complete yet. One answer has one: what it keeps fits no other. */
export class EventCutter {
  #rest: Buffer = Buffer.alloc(0);

  /** Adds bytes; gives the events that they complete. */
  push(chunk: Buffer): WholeEvents | undefined {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = lastBoundary(bytes);
    this.#rest = bytes.subarray(end);
    if (end === 0) {
      return undefined;
    }
    const whole = bytes.subarray(0, end);
    return { bytes: whole, ...positionOf(whole.toString("latin1")) };
  }

  /** Bytes that are no whole event. */
  get rest(): Buffer {
    return this.#rest;
  }

  /** How many of them belong to an event that has begun. Blank lines after the last one begin none. */
  get unfinished(): number {
    return this.#rest.every(isLineEnd) ? 0 : this.#rest.length;
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

const ID_LINE = /^id:(.*)$/gm;
const DATA_LINE = /^data/m;
const BLANK_LINE = /\n\r?\n/;

function positionOf(text: string): Omit<WholeEvents, "bytes"> {
  const last = [...text.matchAll(ID_LINE)].at(-1);
  const after = last === undefined ? text : text.slice(last.index);
  const later = last === undefined
    ? after
    : after.slice(after.search(BLANK_LINE));
  return { lastId: last?.[1]!.trim(), unnumbered: DATA_LINE.test(later) };
}
