/**
 * Parses frames from the bytes of an SSE stream.
 *
 * @module
 */
import { type Frame, parseFrame } from "@sassafrasstep/core";
import { createParser, type EventSourceParser } from "eventsource-parser";

/** Maximum length of an event. */
const MAX_EVENT_CHARACTERS = 65_536;

/** A parsed event of a stream. */
export type FrameEvent =
  | { readonly kind: "frame"; readonly frame: Frame }
  /** The stream is broken; events after this one must be ignored. */
  | { readonly kind: "broken"; readonly detail: string };

/** Parses the stream of one attempt and buffers the bytes of an incomplete event. */
export class FrameReader {
  readonly #decoder = new TextDecoder();
  readonly #parser: EventSourceParser = createParser({
    maxBufferSize: MAX_EVENT_CHARACTERS,
    onEvent: ({ event, data }) => this.#handleEvent(event, data),
    onError: ({ type }) => {
      if (type === "max-buffer-size-exceeded") {
        this.#reportBroken("An event is too long");
      }
    },
  });
  #events: FrameEvent[] = [];
  readonly #unfinished = new UnfinishedEventCounter();

  /** Number of characters of the incomplete event. */
  get unfinishedCharacters(): number {
    return this.#unfinished.characters;
  }

  /** Adds bytes and returns the events that they complete, in order. */
  feed(bytes: Uint8Array): readonly FrameEvent[] {
    const text = this.#decoder.decode(bytes, { stream: true });
    this.#unfinished.add(text);
    this.#parser.feed(text);
    const events = this.#events;
    this.#events = [];
    return events;
  }

  #handleEvent(event: string | undefined, data: string): void {
    if (event === "error") {
      this.#reportBroken("The sender broke off");
      return;
    }
    const frame = parseFrame(data);
    if (frame === undefined) {
      this.#reportBroken("An event is not a frame");
    } else {
      this.#events.push({ kind: "frame", frame });
    }
  }

  #reportBroken(detail: string): void {
    this.#events.push({ kind: "broken", detail });
  }
}

/** Counts the characters after the last blank line, the end of an event. */
class UnfinishedEventCounter {
  characters = 0;
  /** The last characters, which may be the start of a blank line. */
  #tail = "";

  add(text: string): void {
    const joined = this.#tail + text;
    const end = Math.max(
      joined.lastIndexOf("\n\n") + "\n\n".length,
      joined.lastIndexOf("\n\r\n") + "\n\r\n".length,
    );
    const found = joined.includes("\n\n") || joined.includes("\n\r\n");
    this.characters = found
      ? joined.length - end
      : this.characters + text.length;
    this.#tail = joined.slice(-"\n\r".length);
  }
}
