/**
 * What other entries hold, as they last said.
 *
 * @module
 */
import type { Incarnation, Revision } from "../ids/index.ts";
import type { Holdings } from "./fleet_messages.ts";
import type { FleetMember } from "./membership_list.ts";

/** An entry that has a catalogue. */
export interface CatalogueHolder {
  readonly address: string;
  readonly revision: Revision;
}

/** Holdings by entry. */
export class PeerHoldings {
  readonly #holdings = new Map<Incarnation, Holdings>();

  note(entry: Incarnation, holdings: Holdings): void {
    this.#holdings.set(entry, holdings);
  }

  forget(entry: Incarnation): void {
    this.#holdings.delete(entry);
  }

  /** Which of some members has the newest catalogue. */
  newest(members: readonly FleetMember[]): CatalogueHolder | undefined {
    let best: CatalogueHolder | undefined;
    for (const { record: { incarnation, peerAddress } } of members) {
      const revision = this.#holdings.get(incarnation)?.catalogue;
      if (revision !== undefined && revision > (best?.revision ?? 0)) {
        best = { address: peerAddress, revision };
      }
    }
    return best;
  }
}
