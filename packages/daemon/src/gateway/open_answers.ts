/**
 * Tracks answers that have not been sent completely.
 *
 * @module
 */
import type { Milliseconds } from "@sassafrasstep/core";
import type { Exchange } from "./exchange.ts";

/**
 * Counts the open answers, including those already written: if the process exits, what a slow caller has not
 * read yet is lost.
 */
export class OpenAnswers {
  #count = 0;
  #onEmpty: (() => void) | undefined;

  /** Counts an answer until it has been sent or its connection has closed. */
  add(exchange: Exchange): void {
    this.#count++;
    exchange.onClosed(() => {
      this.#count--;
      if (this.#count === 0) {
        this.#onEmpty?.();
      }
    });
  }

  /** Resolves once no answer is open, or after the timeout. */
  async waitUntilSent(timeout: Milliseconds): Promise<void> {
    if (this.#count === 0) {
      return;
    }
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>((resolve) => {
      this.#onEmpty = resolve;
      timer = setTimeout(resolve, timeout);
    });
    clearTimeout(timer);
  }
}
