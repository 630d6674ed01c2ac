/**
 * How much of a stream its caller has received.
 *
 * @module
 */

/** The position after which another endpoint would have to continue the stream. */
export class StreamPosition {
  #lastId: string | undefined;
  #known = true;

  /** `lastId` is the last event that the caller received earlier, before this request. */
  constructor(lastId: string | undefined) {
    this.#lastId = lastId;
  }

  /** Id of the last event that the caller received, `undefined` at the beginning. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Whether the position can be given to another endpoint. It cannot after events without an id. */
  get known(): boolean {
    return this.#known;
  }

  /** Records events that were sent to the caller. */
  advance(
    { lastEventId, unnumbered }: {
      lastEventId: string | undefined;
      unnumbered: boolean;
    },
  ): void {
    this.#lastId = lastEventId ?? this.#lastId;
    this.#known = !unnumbered && (this.#known || lastEventId !== undefined);
  }
}
