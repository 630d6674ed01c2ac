/**
 * Pauses an answer by pausing the reads from its socket.
 *
 * @module
 */
import type { Dispatcher } from "undici";

/** A source of bytes that can be paused. */
export interface PausableSource {
  pause(): void;
  resume(): void;
}

/**
 * The controller of one answer. It pauses the socket's reads instead of the client's parser.
 *
 * If the connection ends or is reset while the parser is paused, the client finishes the parser, and an
 * assertion in a socket listener fails, which crashes the process with all its streams.
 */
export class PausingController implements Dispatcher.DispatchController {
  paused = false;
  readonly #controller: Dispatcher.DispatchController;
  readonly #source: PausableSource;
  #ended = false;

  constructor(
    controller: Dispatcher.DispatchController,
    source: PausableSource,
  ) {
    this.#controller = controller;
    this.#source = source;
  }

  get aborted(): boolean {
    return this.#controller.aborted;
  }

  get reason(): Error | null {
    return this.#controller.reason;
  }

  get rawHeaders(): Dispatcher.DispatchController["rawHeaders"] {
    return this.#controller.rawHeaders;
  }

  get rawTrailers(): Dispatcher.DispatchController["rawTrailers"] {
    return this.#controller.rawTrailers;
  }

  abort(reason: Error): void {
    this.#controller.abort(reason);
  }

  pause(): void {
    this.paused = true;
    if (!this.#ended) {
      this.#source.pause();
    }
  }

  resume(): void {
    this.paused = false;
    if (!this.#ended) {
      this.#source.resume();
    }
  }

  /** Must be called when the answer has ended. Resumes the connection, which may carry the next answer. */
  end(): void {
    this.#ended = true;
    this.#source.resume();
  }
}
