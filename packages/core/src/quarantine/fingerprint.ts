/**
 * Identifies what a request has in common with others, which may have another id and arrive at another entry.
 *
 * @module
 */
import type { CallerDigest, ContentDigest, PartDigest } from "../ids/index.ts";

/** Two requests are repetitions of each other if both digests are equal. */
export interface RepetitionDigests {
  readonly content: ContentDigest;
  readonly caller: CallerDigest;
}

/** What a request may have in common with others. */
export interface RequestFingerprint extends RepetitionDigests {
  /** The parts of its prompt that other requests may share; `undefined` for a request without a prompt. */
  readonly parts?: readonly PartDigest[] | undefined;
}
