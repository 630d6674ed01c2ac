/**
 * A response body that is written as tokens come, no faster than the caller reads.
 *
 * @module
 */

/** Writes that may wait for the caller. */
const MAX_WAITING_WRITES = 16;

/**
 * A reader that is slower than the engine would have its whole answer pile up here; one would notice
 * by memory that grows with slow screens. `write` waits until the caller has taken what is there, so
 * that the engine's connection is read no faster.
 */
export class ResponseStream {
  readonly body: ReadableStream<Uint8Array>;
  readonly #encoder = new TextEncoder();
  #controller!: ReadableStreamDefaultController<Uint8Array>;
  /** All that wait: one that was forgotten here would keep its attempt and its caller for ever. */
  readonly #waiting = new Set<() => void>();
  #closed = false;

  constructor() {
    this.body = new ReadableStream<Uint8Array>({
      start: (controller): void => {
        this.#controller = controller;
      },
      pull: (): void => this.#wake(),
      cancel: (): void => this.#close(),
    }, { highWaterMark: MAX_WAITING_WRITES });
  }

  /** Writes, and resolves when more may be written. After the caller has gone it does nothing. */
  async write(text: string): Promise<void> {
    if (this.#closed) {
      return;
    }
    this.#controller.enqueue(this.#encoder.encode(text));
    if ((this.#controller.desiredSize ?? 0) <= 0) {
      await new Promise<void>((resolve) => {
        this.#waiting.add(resolve);
      });
    }
  }

  /** Ends the body. */
  end(): void {
    if (!this.#closed) {
      this.#close();
      this.#controller.close();
    }
  }

  #close(): void {
    this.#closed = true;
    this.#wake();
  }

  #wake(): void {
    this.#waiting.forEach((resolve) => resolve());
    this.#waiting.clear();
  }
}
