/**
 * Pauses an answer at its socket.
 *
 * @module
 */
import type { Dispatcher } from "undici";

/** What is held back while an answer is paused. */
export interface Holdable {
  hold(): void;
  release(): void;
}

/**
 * The controller of one answer, whose pauses hold the socket back and leave the client's parser alone.
 *
 * Where the connection of a paused answer ends or is reset, the client finishes its parser, which must
 * not be paused then: an assertion in a listener of the socket ends the process with all its streams.
 */
export class HoldingController implements Dispatcher.DispatchController {
  paused = false;
  readonly #controller: Dispatcher.DispatchController;
  readonly #source: Holdable;
  #over = false;

  constructor(controller: Dispatcher.DispatchController, source: Holdable) {
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
    if (!this.#over) {
      this.#source.hold();
    }
  }

  resume(): void {
    this.paused = false;
    if (!this.#over) {
      this.#source.release();
    }
  }

  /** The answer has ended: the connection may carry the next one. */
  end(): void {
    this.#over = true;
    this.#source.release();
  }
}
