/**
 * Remembers keys that were recently refused as unknown.
 *
 * @module
 */
import type { KeyDigest } from "../ids/index.ts";

/** Bounds the memory that callers with made-up keys can take up. */
const MAX_KEYS = 1_024;

/** The most recently refused keys. */
export class RefusedKeys {
  readonly #keys = new Set<KeyDigest>();

  has(key: KeyDigest | undefined): boolean {
    return key !== undefined && this.#keys.has(key);
  }

  add(key: KeyDigest | undefined): void {
    if (key === undefined) {
      return;
    }
    this.#keys.delete(key);
    this.#keys.add(key);
    if (this.#keys.size > MAX_KEYS) {
      this.#keys.delete(this.#keys.keys().next().value!);
    }
  }
}
