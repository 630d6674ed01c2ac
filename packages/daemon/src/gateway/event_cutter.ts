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

/** Whole events, and the id of the last of them. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
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
    return { bytes: whole, lastId: lastIdOf(whole) };
  }

  /** Bytes of an event that never became whole. */
  get rest(): Buffer {
    return this.#rest;
  }
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

function lastIdOf(events: Buffer): string | undefined {
  const text = events.toString("latin1");
  const at = text.startsWith("id:")
    ? Math.max(0, text.lastIndexOf("\nid:") + 1)
    : text.lastIndexOf("\nid:") + 1;
  if (!text.startsWith("id:", at)) {
    return undefined;
  }
  const end = text.indexOf("\n", at);
  return text.slice(at + "id:".length, end < 0 ? undefined : end).trim();
}
