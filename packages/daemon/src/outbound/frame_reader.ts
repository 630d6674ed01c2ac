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
  readonly #unfinished = new UnfinishedEvent();

  /** Characters of the event that is not whole yet. */
  get unfinished(): number {
    return this.#unfinished.characters;
  }

  /** Events that are whole with these bytes, in their order. */
  feed(bytes: Uint8Array): readonly FrameEvent[] {
    const text = this.#decoder.decode(bytes, { stream: true });
    this.#unfinished.add(text);
    this.#parser.feed(text);
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

/** Counts the characters after the last blank line, which ends an event. */
class UnfinishedEvent {
  characters = 0;
  /** The last characters, which may begin a blank line. */
  #last = "";

  add(text: string): void {
    const joined = this.#last + text;
    const end = Math.max(
      joined.lastIndexOf("\n\n") + "\n\n".length,
      joined.lastIndexOf("\n\r\n") + "\n\r\n".length,
    );
    const found = joined.includes("\n\n") || joined.includes("\n\r\n");
    this.characters = found
      ? joined.length - end
      : this.characters + text.length;
    this.#last = joined.slice(-"\n\r".length);
  }
}
