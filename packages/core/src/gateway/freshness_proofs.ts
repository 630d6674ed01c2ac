/**
 * Derives from reads of the platform how recently the local document was the newest.
 *
 * @module
 */
import type { DocumentFreshness, FreshnessMark } from "../customers/index.ts";
import type { DocumentHolder } from "../fleet/index.ts";
import { type Instant, milliseconds, type Revision } from "../ids/index.ts";
import type { LocalCatalogue } from "./local_catalogue.ts";
import type { RequiredProof } from "./messages.ts";
import { DocumentLossDetector } from "./document_loss_detector.ts";

/**
 * After a restore, operators write again what the backup is missing within this time. Until then, the backup
 * may still contain a key that was revoked after it was taken.
 */
const REWRITE_AFTER_RESTORE_MS = 2_200;

type LocalState = Pick<
  LocalCatalogue,
  "document" | "publishedVersion" | "position"
>;

/** Records when the local document was last known to be the newest. */
export class FreshnessProofs {
  readonly #documentFreshness: DocumentFreshness;
  readonly #documentLoss: DocumentLossDetector;
  /** When the read under way was sent. */
  #readSentAt: FreshnessMark | undefined;
  /**
   * Whether its answer, if it contains only changes, shows the platform's current state and so proves
   * freshness.
   */
  #changesProveFreshness = false;
  /** A newer revision of the same epoch that a peer reported. */
  #peerRevision: Revision | undefined;

  /** `newestDocument` returns the peer with the newest document. */
  constructor(
    { documentFreshness, newestDocument }: {
      documentFreshness: DocumentFreshness;
      newestDocument: () => DocumentHolder | undefined;
    },
  ) {
    this.#documentFreshness = documentFreshness;
    this.#documentLoss = new DocumentLossDetector(newestDocument);
  }

  /** Records that a peer reported a newer revision of the same epoch. */
  notePeerRevision(revision: Revision): void {
    this.#peerRevision = revision;
  }

  /** Records that the platform was restored, so that data which it had acknowledged may be missing. */
  noteRestore(now: Instant): void {
    this.#documentFreshness.rejectProofsFor(
      milliseconds(REWRITE_AFTER_RESTORE_MS),
      now,
    );
  }

  /**
   * Prepares a read and returns what its answer has to prove. For a newer revision that a peer reported, the
   * changes up to it suffice: the peer has proved that revision, and one call returns them.
   */
  prepareRead(
    { document, position }: LocalState,
    { requiresKeys, now }: { requiresKeys: boolean; now: Instant },
  ): RequiredProof {
    const newer = this.#peerRevision;
    const reaches = newer !== undefined && newer > position.revision;
    this.#peerRevision = undefined;
    this.#readSentAt = this.#documentFreshness.mark(now);
    this.#documentLoss.noteRead(document?.version ?? 0 as Revision);
    this.#changesProveFreshness = requiresKeys && !reaches;
    if (!requiresKeys) {
      return { kind: "none" };
    }
    return reaches ? { kind: "reaches", revision: newer } : { kind: "newest" };
  }

  /**
   * Evaluates an answer. It shows the platform's state as of the time when the read was sent, which proves
   * that the local document is current, unless the platform lost a document that it had acknowledged. In that
   * case returns the peer that has the lost document.
   */
  evaluate(
    { document, publishedVersion }: LocalState,
    { isFullRead, now }: { isFullRead: boolean; now: Instant },
  ): DocumentHolder | undefined {
    const version = document?.version ?? 0 as Revision;
    if (this.#documentLoss.isDocumentLost(publishedVersion, now)) {
      return this.#documentLoss.holderNewerThan(version);
    }
    if (
      (isFullRead || this.#changesProveFreshness) &&
      this.#readSentAt !== undefined &&
      document !== undefined
    ) {
      this.#documentFreshness.addProof({ version, at: this.#readSentAt });
    }
    return undefined;
  }
}
