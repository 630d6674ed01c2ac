/**
 * Detects that the platform lost a document that it had acknowledged.
 *
 * @module
 */
import type { DocumentHolder } from "../fleet/index.ts";
import type { Instant, Revision } from "../ids/index.ts";

/**
 * A restored backup is missing what was written after it was taken. Operators are expected to write it again;
 * after this time the document of the backup is accepted.
 */
const LOST_DOCUMENT_WAIT_MS = 10_000;

/** Compares the document that a read returned with the newest one that was known when the read was sent. */
export class DocumentLossDetector {
  readonly #newestHolder: () => DocumentHolder | undefined;
  #knownVersion = 0 as Revision;
  #holder: DocumentHolder | undefined;
  #missingSince: Instant | undefined;

  /** `newestHolder` returns the peer with the newest document. */
  constructor(newestHolder: () => DocumentHolder | undefined) {
    this.#newestHolder = newestHolder;
  }

  /** Records the newest known version when a read is sent. `localVersion` is that of the local document. */
  noteRead(localVersion: Revision): void {
    this.#holder = this.#newestHolder();
    this.#knownVersion = Math.max(
      localVersion,
      this.#holder?.version ?? 0,
    ) as Revision;
  }

  /**
   * Whether the answer contained an older document than the newest known one, so that it does not prove the
   * local document to be current. False again once this has lasted for `LOST_DOCUMENT_WAIT_MS`.
   */
  isDocumentLost(published: Revision, now: Instant): boolean {
    if (published >= this.#knownVersion) {
      this.#missingSince = undefined;
      return false;
    }
    this.#missingSince ??= now;
    return now - this.#missingSince < LOST_DOCUMENT_WAIT_MS;
  }

  /** Returns the peer that has a newer document than `version`, if there was one when the read was sent. */
  holderNewerThan(version: Revision): DocumentHolder | undefined {
    return this.#holder !== undefined && this.#holder.version > version
      ? this.#holder
      : undefined;
  }
}
