/**
 * Addresses without a live or suspect member: seeds that were not heard, and members declared dead.
 *
 * @module
 */
import type { FleetMember } from "./membership_list.ts";

/** Addresses that are tried each period, so that a partition heals within seconds. */
const ATTEMPTS_PER_PERIOD = 2;

/** An address, and the dead member that was last known there, if any. */
export interface UnreachableAddress {
  readonly address: string;
  readonly member: FleetMember | undefined;
}

/** Selects unreachable addresses to try in turn: only an attempt shows that a partition has ended. */
export class UnreachablePeers {
  readonly #ownAddress: string;
  readonly #seeds: readonly string[];
  #cursor = 0;

  constructor(ownAddress: string, seeds: readonly string[]) {
    this.#ownAddress = ownAddress;
    this.#seeds = seeds;
  }

  /** Returns the next addresses to try. */
  next(members: Iterable<FleetMember>): UnreachableAddress[] {
    const reachable = new Set<string>([this.#ownAddress]);
    const dead = new Map<string, FleetMember>();
    for (const member of members) {
      if (member.health === "dead") {
        dead.set(member.record.peerAddress, member);
      } else {
        reachable.add(member.record.peerAddress);
      }
    }
    const unreachable = [...new Set([...this.#seeds, ...dead.keys()])].filter(
      (address) => !reachable.has(address),
    );
    const count = Math.min(ATTEMPTS_PER_PERIOD, unreachable.length);
    return Array.from({ length: count }, () => {
      const address = unreachable[this.#cursor++ % unreachable.length]!;
      return { address, member: dead.get(address) };
    });
  }
}
