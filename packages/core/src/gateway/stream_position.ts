/**
 * How far the caller of a stream has got.
 *
 * @module
 */

/** Where another endpoint would have to go on. */
export class StreamPosition {
  #lastId: string | undefined;
  #known = true;

  /** `lastId`: the last event that the caller had before. */
  constructor(lastId: string | undefined) {
    this.#lastId = lastId;
  }

  /** Id of the last event, `undefined` at the beginning. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Whether an endpoint can be told where to go on: not after events without an id. */
  get known(): boolean {
    return this.#known;
  }

  /** Events have gone to the caller. */
  passed(
    { lastEventId, unnumbered }: {
      lastEventId: string | undefined;
      unnumbered: boolean;
    },
  ): void {
    this.#lastId = lastEventId ?? this.#lastId;
    this.#known = !unnumbered && (this.#known || lastEventId !== undefined);
  }
}
