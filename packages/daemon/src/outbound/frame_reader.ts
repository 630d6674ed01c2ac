/**
 * Reads frames out of the bytes of one stream.
 *
 * @module
 */
import { type Frame, parseFrame } from "@sassafrasstep/core";
import { createParser, type EventSourceParser } from "eventsource-parser";

/** Longest event of a stream. */
const MAX_EVENT_CHARACTERS = 65_536;

/** One event of a stream. */
export type FrameEvent =
  | { readonly kind: "frame"; readonly frame: Frame }
  /** Nothing sensible comes after it. */
  | { readonly kind: "broken"; readonly detail: string };

/** Belongs to one attempt, with the bytes of an event that is not whole yet. */
export class FrameReader {
  readonly #decoder = new TextDecoder();
  readonly #parser: EventSourceParser = createParser({
    maxBufferSize: MAX_EVENT_CHARACTERS,
    onEvent: ({ event, data }) => this.#take(event, data),
    onError: ({ type }) => {
      if (type === "max-buffer-size-exceeded") {
        this.#break("An event is too long");
      }
    },
  });
  #events: FrameEvent[] = [];

  /** Events that are whole with these bytes, in their order. */
  feed(bytes: Uint8Array): readonly FrameEvent[] {
    this.#parser.feed(this.#decoder.decode(bytes, { stream: true }));
    const events = this.#events;
    this.#events = [];
    return events;
  }

  #take(event: string | undefined, data: string): void {
    if (event === "error") {
      this.#break("The sender broke off");
      return;
    }
    const frame = parseFrame(data);
    if (frame === undefined) {
      this.#break("An event is not a frame");
    } else {
      this.#events.push({ kind: "frame", frame });
    }
  }

  #break(detail: string): void {
    this.#events.push({ kind: "broken", detail });
  }
}
