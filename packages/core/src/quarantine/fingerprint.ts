/**
 * Identifies repetitions of a request, which may have another id and arrive at another entry.
 *
 * @module
 */
import type { CallerDigest, ContentDigest } from "../ids/index.ts";

/** Two requests are repetitions of each other if both digests are equal. */
export interface RequestFingerprint {
  readonly content: ContentDigest;
  readonly caller: CallerDigest;
}
