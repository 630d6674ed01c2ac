/**
 * What a request is known by when it comes again: under another id, at another entry.
 *
 * @module
 */
import type { CallerDigest, ContentDigest } from "../ids/index.ts";

/** Two requests are repeats of each other where both are equal. */
export interface RequestFingerprint {
  readonly content: ContentDigest;
  readonly caller: CallerDigest;
}
