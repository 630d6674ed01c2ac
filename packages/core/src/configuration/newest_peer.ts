/**
 * Selects the peer from which a newer configuration text is copied.
 *
 * @module
 */
import type { Blackboard, Member } from "../blackboard/index.ts";
import type { Revision } from "../ids/index.ts";

/** Finds the live peer with the highest revision above `knownRevision`, preferring peers in the own zone. */
export function findNewestPeer(
  { self, membership }: Blackboard,
  knownRevision: Revision,
): Member | undefined {
  let best: Member | undefined;
  for (const member of membership.members.values()) {
    if (member.health !== "live" || member.revision <= knownRevision) {
      continue;
    }
    const newer = best === undefined || member.revision > best.revision;
    const closer = best !== undefined && member.revision === best.revision &&
      member.record.zone === self.zone && best.record.zone !== self.zone;
    best = newer || closer ? member : best;
  }
  return best;
}
