/**
 * An answer on its way to the caller, event by event.
 *
 * @module
 */
import { EventCutter, type WholeEvents } from "./event_cutter.ts";

/** Nothing of an event goes out before it is whole: one without an end would fill the memory. */
const MAX_EVENT_BYTES = 1_048_576;
const WHOLE_NUMBER = /^\d{1,15}$/;

/** What came of a part of the answer. */
export interface PassedPart {
  /** Events that are whole now. */
  readonly events: WholeEvents | undefined;
  /** Why nothing of the answer may be passed on after them. */
  readonly fault: string | undefined;
}

/** How an answer came to its end. */
export type PassageEnd =
  /** What is left to pass on: nothing of an event. */
  | { readonly kind: "whole"; readonly rest: Buffer }
  | { readonly kind: "torn"; readonly fault: string };

/**
 * Judges what may be passed on of one answer. It lives and dies with its attempt: kept for the next one of
 * the request, the bytes of an unfinished event would stand before that one's first event, and the caller
 * would get an event that no endpoint made.
 */
export class EventPassage {
  readonly #cutter = new EventCutter();
  /** Last event that the caller has, until the first one that follows it. */
  #goesOnAfter: string | undefined;
  #isEmpty = true;

  /** `goesOnAfter`: last event of the caller, where the answer goes on with another one. */
  constructor(goesOnAfter: string | undefined) {
    this.#goesOnAfter = goesOnAfter;
  }

  /** Bytes of an event that is not whole yet. */
  get unfinished(): number {
    return this.#cutter.unfinished;
  }

  take(chunk: Buffer): PassedPart {
    const events = this.#cutter.push(chunk);
    if (this.#repeats(events?.firstId)) {
      return { events: undefined, fault: "Events began anew" };
    }
    this.#isEmpty &&= events === undefined;
    const tooLong = this.#cutter.size > MAX_EVENT_BYTES;
    return { events, fault: tooLong ? "An event is too long" : undefined };
  }

  /**
   * The answer ended in order. An endpoint, or what stands before it, may end the framing inside an event;
   * passed on to its last byte, the stream would look whole to its caller.
   */
  end(
    { framed, resumed }: {
      /** Whether the answer told where it ends. */
      framed: boolean;
      /** Whether it was asked for what follows an event. */
      resumed: boolean;
    },
  ): PassageEnd {
    if (this.#cutter.unfinished > 0) {
      return { kind: "torn", fault: "Answer ended inside an event" };
    }
    if (this.#isEmpty && !framed && !resumed) {
      // Its connection alone tells that it is whole, and a process that ends closes it in the same way.
      return { kind: "torn", fault: "No event came" };
    }
    return { kind: "whole", rest: this.#cutter.rest };
  }

  /**
   * Whether an endpoint that shall go on begins with what the caller has: one that takes no notice of the
   * last id begins anew, and the caller would get events twice. Ids that are no numbers tell nothing.
   */
  #repeats(firstId: string | undefined): boolean {
    const after = this.#goesOnAfter;
    if (after === undefined || firstId === undefined) {
      return false;
    }
    this.#goesOnAfter = undefined;
    return WHOLE_NUMBER.test(after) && WHOLE_NUMBER.test(firstId) &&
      Number(firstId) <= Number(after);
  }
}
