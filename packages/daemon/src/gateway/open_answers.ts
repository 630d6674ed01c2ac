/**
 * Answers that have not left altogether.
 *
 * @module
 */
import type { Milliseconds } from "@sassafrasstep/core";
import type { Exchange } from "./exchange.ts";

/** Counts them, decided ones included: a process that ends takes with it what a slow caller has not read. */
export class OpenAnswers {
  #count = 0;
  #empty: (() => void) | undefined;

  /** Counts an answer until it has left. */
  add(exchange: Exchange): void {
    this.#count++;
    exchange.onClosed(() => {
      this.#count--;
      if (this.#count === 0) {
        this.#empty?.();
      }
    });
  }

  /** Resolves once all have left, or after so long. */
  async left(within: Milliseconds): Promise<void> {
    if (this.#count === 0) {
      return;
    }
    let timer: NodeJS.Timeout | undefined;
    await new Promise<void>((resolve) => {
      this.#empty = resolve;
      timer = setTimeout(resolve, within);
    });
    clearTimeout(timer);
  }
}
