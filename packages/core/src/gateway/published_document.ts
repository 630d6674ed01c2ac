/**
 * Whether the platform has every document that it is known to have acknowledged.
 *
 * @module
 */
import type { DocumentHolder } from "../fleet/index.ts";
import type { Instant, Revision } from "../ids/index.ts";

/** A copy lacks what was written after it. Operators write it again; after this the copy is what there is. */
const MOST_LACKING_MS = 10_000;

/** Compares what a read showed with what was known when it was sent. */
export class PublishedDocument {
  readonly #newestHolder: () => DocumentHolder | undefined;
  #known = 0 as Revision;
  #holder: DocumentHolder | undefined;
  #lackingSince: Instant | undefined;

  /** `newestHolder`: the peer with the newest document. */
  constructor(newestHolder: () => DocumentHolder | undefined) {
    this.#newestHolder = newestHolder;
  }

  /** A read is sent by an entry that holds a version. */
  ask(held: Revision): void {
    this.#holder = this.#newestHolder();
    this.#known = Math.max(held, this.#holder?.version ?? 0) as Revision;
  }

  /** Whether the answer showed an older document than was known: then it proves nothing. */
  isLacking(published: Revision, now: Instant): boolean {
    if (published >= this.#known) {
      this.#lackingSince = undefined;
      return false;
    }
    this.#lackingSince ??= now;
    return now - this.#lackingSince < MOST_LACKING_MS;
  }

  /** Who holds a newer document than one version, if the platform may not have it. */
  newerThan(version: Revision): DocumentHolder | undefined {
    return this.#holder !== undefined && this.#holder.version > version
      ? this.#holder
      : undefined;
  }
}
