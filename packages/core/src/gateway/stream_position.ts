/**
 * How much of a stream its caller has received.
 *
 * @module
 */

/** The position after which another endpoint would have to continue the stream. */
export class StreamPosition {
  #lastId: string | undefined;
  #known = true;
  #events = 0;

  /** `lastId` is the last event that the caller received earlier, before this request. */
  constructor(lastId: string | undefined) {
    this.#lastId = lastId;
  }

  /** Id of the last event that the caller received, `undefined` at the beginning. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Number of reports of complete events that were sent to the caller for this request. */
  get events(): number {
    return this.#events;
  }

  /**
   * Events of the whole stream that the caller has, as far as that can be told: an id counts them unless it is larger than
   * any answer of `maxEvents`.
   */
  eventsOf(maxEvents: number): number {
    const id = Number(this.#lastId ?? NaN);
    return Number.isInteger(id) && id <= maxEvents
      ? Math.max(id, this.#events)
      : this.#events;
  }

  /** Whether the position can be given to another endpoint. It cannot after events without an id. */
  get known(): boolean {
    return this.#known;
  }

  /** Records what was sent to the caller. Returns whether it held complete events. */
  advance(
    { lastEventId, unnumbered }: {
      lastEventId: string | undefined;
      unnumbered: boolean;
    },
  ): boolean {
    this.#lastId = lastEventId ?? this.#lastId;
    this.#known = !unnumbered && (this.#known || lastEventId !== undefined);
    const complete = unnumbered || lastEventId !== undefined;
    this.#events += complete ? 1 : 0;
    return complete;
  }
}
