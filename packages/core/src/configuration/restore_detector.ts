/**
 * Recognizes that the configuration service was restored from a backup, after which it assigns revisions again.
 *
 * @module
 */
import type { Instant, Revision, ServiceRevision } from "../ids/index.ts";
import { epochOf, toFleetRevision } from "./fleet_revision.ts";
import { digestText, TextHistory, type TextRelation } from "./text_history.ts";

/** Least time between the two reads that establish a restore. A peer that knows more is heard meanwhile. */
export const RESTORE_CONFIRMATION_MS = 1_000;
/** Time after which a conflicting read no longer counts as the first of two. */
const CONFLICT_LIFETIME_MS = 120_000;

/** What to do with a text that the service returned. */
export type ServiceReading =
  /** The newest known text. */
  | { readonly kind: "current" }
  /** A text to check and adopt under `revision`, which follows a restore of the service if `restored`. */
  | {
    readonly kind: "newer";
    readonly revision: Revision;
    readonly restored: boolean;
  }
  /** Another text under a known revision, which has to be read a second time before it is adopted. */
  | { readonly kind: "doubtful" }
  /** The service is outdated, or was restored and has not returned a text that proves it. */
  | { readonly kind: "older" };

/** Decides under which revision a text of the configuration service is adopted. */
export class RestoreDetector {
  readonly history = new TextHistory();
  #conflictSince: Instant | undefined;

  /** Interprets a text that the service returned. `newest` is the newest revision that was checked. */
  read(
    { revision, text, newest }: {
      revision: ServiceRevision;
      text: string;
      newest: Revision;
    },
    now: Instant,
  ): ServiceReading {
    const relation = this.history.relate(
      { revision, digest: digestText(text) },
      newest,
    );
    if (relation === "conflicting" && !this.#isConfirmed(now)) {
      return { kind: "doubtful" };
    }
    return this.#toReading(relation, { revision, newest });
  }

  #isConfirmed(now: Instant): boolean {
    const since = this.#conflictSince;
    if (since === undefined || now - since > CONFLICT_LIFETIME_MS) {
      this.#conflictSince = now;
      return false;
    }
    return now - since >= RESTORE_CONFIRMATION_MS;
  }

  #toReading(
    relation: TextRelation,
    { revision, newest }: { revision: ServiceRevision; newest: Revision },
  ): ServiceReading {
    const restored = relation === "conflicting";
    if (restored || relation === "newer") {
      this.#conflictSince = undefined;
      const epoch = epochOf(newest) + (restored ? 1 : 0);
      return {
        kind: "newer",
        revision: toFleetRevision(epoch, revision),
        restored,
      };
    }
    return { kind: relation === "current" ? "current" : "older" };
  }
}
