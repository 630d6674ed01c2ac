/**
 * The texts that are known under the configuration service's revisions.
 *
 * @module
 */
import { type Revision, type ServiceRevision, sha256 } from "../ids/index.ts";
import type { KnownText } from "../messages/index.ts";
import { serviceRevisionOf } from "./fleet_revision.ts";

/** Number of texts that are remembered. Older ones are forgotten first. */
export const MAX_KNOWN_TEXTS = 32;
const DIGEST_CHARACTERS = 16;

/**
 * How a text that was read relates to the known ones:
 *
 * - `current`: the newest text that was checked.
 * - `newer`: its revision is above that of the newest text.
 * - `superseded`: it was known before the newest text, so that the service is outdated.
 * - `conflicting`: another text was known under its revision, so that the service assigned the revision again.
 * - `older`: its revision is below that of the newest text, and nothing is known about it.
 */
export type TextRelation =
  | "current"
  | "newer"
  | "superseded"
  | "conflicting"
  | "older";

/** Digest by which texts are compared. */
export function digestText(text: string): string {
  return sha256(text).slice(0, DIGEST_CHARACTERS);
}

/** Remembers the latest texts that were adopted or rejected, here or by the peers from which they were copied. */
export class TextHistory {
  #known: KnownText[] = [];

  /** Returns the known texts up to a revision. */
  upTo(revision: Revision): readonly KnownText[] {
    return this.#known.filter((known) => known.revision <= revision);
  }

  add(text: KnownText): void {
    this.merge([text]);
  }

  /**
   * Adds what a peer knows. Where both know different texts under the same revision, the peer's are kept: the
   * text that was copied follows them. The own one is from a later life of the service, and has to be
   * recognized as such when it is read again.
   */
  merge(texts: readonly KnownText[]): void {
    const replaced = new Set(texts.map(({ revision }) => revision));
    this.#known = [
      ...this.#known.filter(({ revision }) => !replaced.has(revision)),
      ...texts,
    ].sort((left, right) => left.revision - right.revision)
      .slice(-MAX_KNOWN_TEXTS);
  }

  /** Relates a text that the service returned to the known ones, the newest of which has revision `newest`. */
  relate(
    { revision, digest }: { revision: ServiceRevision; digest: string },
    newest: Revision,
  ): TextRelation {
    const sameRevision = this.#known.filter((known) =>
      serviceRevisionOf(known.revision) === revision
    );
    const same = sameRevision.findLast((known) => known.digest === digest);
    if (same !== undefined) {
      return same.revision === newest ? "current" : "superseded";
    }
    if (revision > serviceRevisionOf(newest)) {
      return "newer";
    }
    return sameRevision.length > 0 ? "conflicting" : "older";
  }
}
