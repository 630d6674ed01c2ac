/**
 * Keepers: the entries that keep copies of a key's outcome.
 *
 * @module
 */
import type { Blackboard, Member } from "../blackboard/index.ts";
import { rendezvous } from "../ids/index.ts";
import type { KeyOwner } from "./owner_token.ts";

/** Determines which entries keep copies: the key, and its owner, which needs no copy. */
export type KeptKey = Pick<KeyOwner, "key" | "incarnation">;

/**
 * Returns the entries of the region that keep a key's outcome, in two zones if there are two. They are selected by
 * rendezvous hashing, so that any entry can calculate which ones to ask. Other regions are excluded because a copy
 * there would take a home-bound customer's answer out of its home region.
 */
export function keepersOf(
  board: Blackboard,
  { key, incarnation: owner }: KeptKey,
): (Member | "self")[] {
  const { self, membership } = board;
  const candidates: {
    readonly incarnation: string;
    readonly zone: string;
    readonly keeper: Member | "self";
  }[] = [];
  if (self.incarnation !== owner) {
    candidates.push({
      incarnation: self.incarnation,
      zone: self.zone,
      keeper: "self",
    });
  }
  for (const member of membership.members.values()) {
    const { incarnation, zone, region } = member.record;
    if (
      member.health === "live" && region === self.region &&
      incarnation !== owner
    ) {
      candidates.push({ incarnation, zone, keeper: member });
    }
  }
  const ranked = rendezvous(
    `keep ${key}`,
    candidates,
    (candidate) => candidate.incarnation,
  );
  const first = ranked[0];
  const second = ranked.find((candidate) => candidate.zone !== first?.zone) ??
    ranked[1];
  return [first, second].flatMap((candidate) => candidate?.keeper ?? []);
}

/** Returns the first keeper of a key, `undefined` if this entry is a keeper itself. */
export function otherKeeper(
  board: Blackboard,
  key: KeptKey,
): Member | undefined {
  const keepers = keepersOf(board, key);
  if (keepers.includes("self")) {
    return undefined;
  }
  return keepers.find((keeper): keeper is Member => keeper !== "self");
}
