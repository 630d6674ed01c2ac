/**
 * A streamed response body with backpressure.
 *
 * @module
 */

/** Number of buffered writes from which `write` waits for the caller. */
const MAX_BUFFERED_WRITES = 16;

/**
 * Writes a response body no faster than the caller reads it. `write` waits until the caller has read what
 * is buffered, so that the engine's connection is read at the same pace. Without this, the whole answer
 * of a slow caller would be buffered, and memory would grow with slow callers.
 */
export class ResponseStream {
  readonly body: ReadableStream<Uint8Array>;
  readonly #encoder = new TextEncoder();
  #controller!: ReadableStreamDefaultController<Uint8Array>;
  /** Resolves the waiting writes. A write that is lost here would leak its attempt and its caller. */
  readonly #waiting = new Set<() => void>();
  #closed = false;

  constructor() {
    this.body = new ReadableStream<Uint8Array>({
      start: (controller): void => {
        this.#controller = controller;
      },
      pull: (): void => this.#wake(),
      cancel: (): void => this.#close(),
    }, { highWaterMark: MAX_BUFFERED_WRITES });
  }

  /** Writes text and resolves when more may be written. Does nothing after the body was ended or cancelled. */
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

  /** Ends the body and releases waiting writes. */
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
