/**
 * Revisions of the configuration as entries compare them.
 *
 * The configuration service assigns revisions again after it was restored from a backup, and states no epoch.
 * Entries count its restores, and put this epoch in front of the service's revision in one number. Every
 * comparison, message and fencing number therefore orders texts across restores.
 *
 * @module
 */
import type { Revision, ServiceRevision } from "../ids/index.ts";

/** Upper bound of the service's revisions. Leaves room for 2,048 epochs within a safe integer. */
export const MAX_SERVICE_REVISIONS = 2 ** 42;

/** Combines an epoch and a revision of the service. */
export function toFleetRevision(
  epoch: number,
  revision: ServiceRevision,
): Revision {
  return epoch * MAX_SERVICE_REVISIONS + revision as Revision;
}

/** Returns how many restores of the service a revision follows. */
export function epochOf(revision: Revision): number {
  return Math.floor(revision / MAX_SERVICE_REVISIONS);
}

/** Returns the revision that the service assigned. */
export function serviceRevisionOf(revision: Revision): ServiceRevision {
  return revision % MAX_SERVICE_REVISIONS as ServiceRevision;
}

/** Log fields that name a revision. */
export function revisionFields(
  revision: Revision,
): { revision: number; epoch?: number } {
  const epoch = epochOf(revision);
  const assigned = serviceRevisionOf(revision);
  return epoch === 0 ? { revision: assigned } : { revision: assigned, epoch };
}

/** Describes a revision for operators. */
export function formatRevision(revision: number): string {
  const epoch = epochOf(revision as Revision);
  const assigned = serviceRevisionOf(revision as Revision);
  return epoch === 0 ? `${assigned}` : `${assigned} of epoch ${epoch}`;
}
