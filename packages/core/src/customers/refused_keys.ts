/**
 * Keys that were refused for good not long ago.
 *
 * @module
 */
import type { KeyDigest } from "../ids/index.ts";

/** Keys that are remembered: made-up ones must not fill the memory. */
const MOST_KEYS = 1_024;

/** The last refused keys. */
export class RefusedKeys {
  readonly #keys = new Set<KeyDigest>();

  has(key: KeyDigest | undefined): boolean {
    return key !== undefined && this.#keys.has(key);
  }

  note(key: KeyDigest | undefined): void {
    if (key === undefined) {
      return;
    }
    this.#keys.delete(key);
    this.#keys.add(key);
    if (this.#keys.size > MOST_KEYS) {
      this.#keys.delete(this.#keys.keys().next().value!);
    }
  }
}
