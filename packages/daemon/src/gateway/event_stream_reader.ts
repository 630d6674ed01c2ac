/**
 * Validates the event stream of one answer before it is forwarded to the caller.
 *
 * @module
 */
import { type CompleteEvents, EventSplitter } from "./event_splitter.ts";

/** An event is buffered until it is complete, so one that never ends would exhaust the memory. */
const MAX_EVENT_BYTES = 1_048_576;
const WHOLE_NUMBER = /^\d{1,15}$/;

/** Result of reading a part of the answer. */
export interface ReadResult {
  /** Events that are now complete. */
  readonly events: CompleteEvents | undefined;
  /** Why nothing after these events may be forwarded; `undefined` if the answer is valid so far. */
  readonly fault: string | undefined;
}

/** How an answer ended. */
export type EventStreamEnd =
  /** Remaining bytes to forward, which contain no part of an event. */
  | { readonly kind: "whole"; readonly rest: Buffer }
  | { readonly kind: "torn"; readonly fault: string };

/**
 * Determines which events of one answer may be forwarded. Each attempt needs its own reader: if it were
 * reused for the next attempt, the bytes of an incomplete event would precede that attempt's first event, and
 * the caller would receive an event that no endpoint sent.
 */
export class EventStreamReader {
  readonly #splitter = new EventSplitter();
  /** The last event that the caller received; cleared once the resumed answer brings an event with an id. */
  #resumeAfter: string | undefined;
  #isEmpty = true;

  /** `resumeAfter` is the last event that the caller received, if this answer resumes an earlier one. */
  constructor(resumeAfter: string | undefined) {
    this.#resumeAfter = resumeAfter;
  }

  /** Number of bytes buffered of an incomplete event. */
  get unfinishedBytes(): number {
    return this.#splitter.unfinishedBytes;
  }

  /** Reads a part of the answer. */
  push(chunk: Buffer): ReadResult {
    const events = this.#splitter.push(chunk);
    if (this.#isRepeat(events?.firstId)) {
      return {
        events: undefined,
        fault: "Stream restarted from an earlier event",
      };
    }
    this.#isEmpty &&= events === undefined;
    const tooLong = this.#splitter.bufferedBytes > MAX_EVENT_BYTES;
    return {
      events,
      fault: tooLong ? "Event exceeds the size limit" : undefined,
    };
  }

  /**
   * Handles the regular end of the answer. An endpoint or a proxy in front of it may end the body inside an
   * event; if all its bytes were forwarded, the stream would look complete to the caller.
   */
  end(
    { framed, resumed }: {
      /** Whether the answer marked its end by a length or by chunked encoding. */
      framed: boolean;
      /** Whether the request asked for the events after a given one. */
      resumed: boolean;
    },
  ): EventStreamEnd {
    if (this.#splitter.unfinishedBytes > 0) {
      return { kind: "torn", fault: "Answer ended within an event" };
    }
    if (this.#isEmpty && !framed && !resumed) {
      // Only the closed connection marks the end, and a process that exits closes it in the same way.
      return { kind: "torn", fault: "Answer contained no event" };
    }
    return { kind: "whole", rest: this.#splitter.remainder };
  }

  /**
   * Whether a resumed answer begins with an event that the caller already received. An endpoint that ignores
   * the last event id starts over, and the caller would receive events twice. Non-numeric ids are not
   * compared.
   */
  #isRepeat(firstId: string | undefined): boolean {
    const after = this.#resumeAfter;
    if (after === undefined || firstId === undefined) {
      return false;
    }
    this.#resumeAfter = undefined;
    return WHOLE_NUMBER.test(after) && WHOLE_NUMBER.test(firstId) &&
      Number(firstId) <= Number(after);
  }
}
